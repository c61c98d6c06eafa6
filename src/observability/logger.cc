#include "observability/logger.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <climits>
#include <memory>
#include <utility>

#include "base/mutex_lock.h"

namespace sapphirecrank::observability {

namespace {

constexpr base::Duration kMessageInterval = std::chrono::seconds(1);

std::string Quote(const std::string& value) {
  std::string quoted = "\"";
  for (char c : value) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
    }
    quoted += c == '\n' || c == '\r' ? ' ' : c;
  }
  return quoted + "\"";
}

bool NeedsQuotes(const std::string& value) {
  return value.empty() || value.find_first_of(" \"=\\\n\r") != std::string::npos;
}

}  // namespace

std::string_view LogLevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "info";
}

Logger::Logger(LogLevel minimum_level, Hooks hooks)
    : minimum_level(minimum_level), hooks(std::move(hooks)) {}

Logger::Hooks Logger::StandardOutputHooks() {
  // A stalled reader of the log must not block the process: a line is dropped if the pipe is full,
  // and the next line that is written reports how many were dropped.
  auto dropped_line_count = std::make_shared<std::atomic<int64_t>>(0);
  return {base::SteadyClock(), [dropped_line_count](const std::string& line) {
            pollfd poll_descriptor{STDOUT_FILENO, POLLOUT, 0};
            if (poll(&poll_descriptor, 1, 0) != 1 || (poll_descriptor.revents & POLLOUT) == 0) {
              ++*dropped_line_count;
              return;
            }
            const int64_t count = dropped_line_count->exchange(0);
            std::string text =
                count > 0 ? fmt::format("{} lines_dropped={}", line, count) : std::string(line);
            // A pipe that is writable accepts this many bytes without blocking.
            text.resize(std::min<size_t>(text.size(), PIPE_BUF - 1));
            text += '\n';
            (void)!write(STDOUT_FILENO, text.data(), text.size());
          }};
}

void Logger::Info(std::string_view message, std::initializer_list<LogField> fields) {
  this->WriteLine(LogLevel::kInfo, message, fields);
}

void Logger::Warning(std::string_view message, std::initializer_list<LogField> fields) {
  this->WriteLine(LogLevel::kWarning, message, fields);
}

void Logger::Error(std::string_view message, std::initializer_list<LogField> fields) {
  this->WriteLine(LogLevel::kError, message, fields);
}

void Logger::WriteLine(LogLevel level, std::string_view message,
                       std::initializer_list<LogField> fields) {
  if (level < this->minimum_level) {
    return;
  }
  const int suppressed_count =
      level >= LogLevel::kWarning ? this->LimitMessage(message) : this->LimitVolume();
  if (suppressed_count < 0) {
    return;
  }
  const auto now =
      std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
  std::string line = fmt::format("time={:%Y-%m-%dT%H:%M:%S}Z level={} message={}", fmt::gmtime(now),
                                 LogLevelName(level), Quote(std::string(message)));
  for (const LogField& field : fields) {
    line += fmt::format(" {}={}", field.name,
                        NeedsQuotes(field.value) ? Quote(field.value) : field.value);
  }
  if (suppressed_count > 0) {
    line += fmt::format(" left_out={}", suppressed_count);
  }
  this->hooks.write_line(line);
}

int Logger::LimitVolume() {
  const base::TimePoint now = this->hooks.now();
  base::MutexLock lock(this->mutex);
  if (now >= this->window_end) {
    this->window_end = now + std::chrono::seconds(1);
    this->lines_in_window = 0;
  }
  if (this->lines_in_window >= kMaximumLinesPerSecond) {
    ++this->suppressed_line_count;
    return -1;
  }
  ++this->lines_in_window;
  return std::exchange(this->suppressed_line_count, 0);
}

int Logger::LimitMessage(std::string_view message) {
  const base::TimePoint now = this->hooks.now();
  base::MutexLock lock(this->mutex);
  MessageLimit& limit = this->message_limits[std::string(message)];
  if (now < limit.next_allowed_at) {
    ++limit.suppressed_count;
    return -1;
  }
  limit.next_allowed_at = now + kMessageInterval;
  return std::exchange(limit.suppressed_count, 0);
}

}  // namespace sapphirecrank::observability
