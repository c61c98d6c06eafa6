#pragma once

#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/mutex.h"
#include "base/time.h"
#include "observability/log_field.h"
#include "observability/log_level.h"

namespace sapphirecrank::observability {

/// Writes structured log lines, key=value, one a line.
///
/// Warnings and errors with the same message are limited to one a second; the next one says how
/// many were left out. Other lines are limited to `kMaximumLinesPerSecond` a second; the first one
/// of a later second says how many were left out. Thread safety: all methods may be called from any
/// thread.
class Logger {
 public:
  /// Lines of level info and below that are written in a second. A host writes about two for each
  /// job and a few for each fault; at 200 bytes a line this is 0.2 MB a second.
  static constexpr int kMaximumLinesPerSecond = 1000;

  /// Behaviour handed in; all members must be set.
  struct Hooks {
    base::Clock now;
    /// Writes one line without its end.
    std::function<void(const std::string&)> write_line;
  };

  /// Lines below `minimum_level` are dropped.
  Logger(LogLevel lowest, Hooks hooks);

  /// Returns hooks that write to standard output and never wait: lines that it doesn't take at once
  /// are dropped and counted.
  static Logger::Hooks StandardOutputHooks();

  void Info(std::string_view message, std::initializer_list<LogField> fields = {});
  void Warning(std::string_view message, std::initializer_list<LogField> fields = {});
  void Error(std::string_view message, std::initializer_list<LogField> fields = {});

 private:
  struct MessageLimit {
    base::TimePoint next_allowed_at;
    int suppressed = 0;
  };

  void WriteLine(LogLevel level, std::string_view message, std::initializer_list<LogField> fields);
  /// Returns how many lines with this message were left out, or -1 if this one is to be left out.
  int LimitMessage(std::string_view message);
  /// Returns how many lines of the seconds before were left out, or -1 if this one is to be.
  int LimitVolume();

  LogLevel minimum_level;
  Hooks hooks;
  base::Mutex mutex;
  std::unordered_map<std::string, MessageLimit> message_limits GUARDED_BY(mutex);
  base::TimePoint window_end GUARDED_BY(mutex);
  int lines_in_window GUARDED_BY(mutex) = 0;
  int suppressed_lines GUARDED_BY(mutex) = 0;
};

}  // namespace sapphirecrank::observability
