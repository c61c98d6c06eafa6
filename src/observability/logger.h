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
/// many were left out. Thread safety: all methods may be called from any thread.
class Logger {
 public:
  /// Behaviour handed in; all members must be set.
  struct Hooks {
    base::Clock now;
    /// Writes one line without its end.
    std::function<void(const std::string&)> write;
  };

  /// Lines below `lowest` are dropped.
  Logger(LogLevel lowest, Hooks hooks);

  /// Returns hooks that write to standard output and never wait: lines that it doesn't take at once
  /// are dropped and counted.
  static Logger::Hooks StandardOutput();

  void Info(std::string_view message, std::initializer_list<LogField> fields = {});
  void Warning(std::string_view message, std::initializer_list<LogField> fields = {});
  void Error(std::string_view message, std::initializer_list<LogField> fields = {});

 private:
  struct Repeat {
    base::TimePoint allowed_from;
    int left_out = 0;
  };

  void Write(LogLevel level, std::string_view message, std::initializer_list<LogField> fields);
  /// Returns how many lines with this message were left out, or -1 if this one is to be left out.
  int CheckRepeat(std::string_view message);

  LogLevel lowest;
  Hooks hooks;
  base::Mutex mutex;
  std::unordered_map<std::string, Repeat> repeats GUARDED_BY(mutex);
};

}  // namespace sapphirecrank::observability
