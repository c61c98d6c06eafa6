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

/// Writes structured log lines of key=value pairs.
///
/// Warnings and errors with the same message are limited to one per second; the next one reports
/// how many were suppressed. Other lines are limited to `kMaximumLinesPerSecond`; the first line of
/// a later second reports how many were suppressed. Thread safety: all methods may be called from
/// any thread.
class Logger {
 public:
  /// Maximum number of lines of level info and below that are written per second. A host writes
  /// about two lines per job and a few per fault; at 200 bytes per line the limit is 0.2 MB per
  /// second.
  static constexpr int kMaximumLinesPerSecond = 1000;

  /// Functions that the logger calls; all must be set.
  struct Hooks {
    base::Clock now;
    /// Writes one line; the argument has no line end.
    std::function<void(const std::string&)> write_line;
  };

  /// Lines below `minimum_level` are dropped.
  Logger(LogLevel minimum_level, Hooks hooks);

  /// Returns hooks that write to standard output and never wait: a line that can't be written at
  /// once is dropped, and the next line reports how many were dropped. Lines are truncated to
  /// `PIPE_BUF` bytes, including the line end.
  static Logger::Hooks StandardOutputHooks();

  /// Write one line. `message` must be one of a few fixed texts, because the logger keeps a limit
  /// for each different warning and error; values that vary belong in `fields`.
  void Info(std::string_view message, std::initializer_list<LogField> fields = {});
  void Warning(std::string_view message, std::initializer_list<LogField> fields = {});
  void Error(std::string_view message, std::initializer_list<LogField> fields = {});

 private:
  struct MessageLimit {
    base::TimePoint next_allowed_at;
    int suppressed_count = 0;
  };

  void WriteLine(LogLevel level, std::string_view message, std::initializer_list<LogField> fields);
  /// Returns how many lines with this message were suppressed, or -1 if this one is to be
  /// suppressed.
  int LimitMessage(std::string_view message);
  /// Returns how many lines of earlier seconds were suppressed, or -1 if this one is to be
  /// suppressed.
  int LimitVolume();

  LogLevel minimum_level;
  Hooks hooks;
  base::Mutex mutex;
  std::unordered_map<std::string, MessageLimit> message_limits GUARDED_BY(mutex);
  base::TimePoint window_end GUARDED_BY(mutex);
  int lines_in_window GUARDED_BY(mutex) = 0;
  int suppressed_line_count GUARDED_BY(mutex) = 0;
};

}  // namespace sapphirecrank::observability
