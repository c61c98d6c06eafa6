#pragma once

#include <string_view>

namespace sapphirecrank::observability {

/// Severity of a log line, lowest first.
enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// Returns the level's name in log lines.
std::string_view LogLevelName(LogLevel level);

}  // namespace sapphirecrank::observability
