#include "frontend/credential_parser.h"

#include <optional>
#include <set>
#include <sstream>

namespace sapphirecrank::frontend {

namespace {

constexpr size_t kMaximumSecretBytes = 256;
constexpr size_t kMaximumNameBytes = 128;

using Fields = std::vector<std::string>;

base::Error LineError(int line, const std::string& field, const std::string& message) {
  return {base::ErrorCode::kInvalidArgument, field,
          "line " + std::to_string(line) + ": " + field + " " + message,
          base::ExecutionVerdict::kNotRun};
}

bool IsPrintable(const std::string& text) {
  for (const char c : text) {
    if (c <= ' ' || c > '~') {
      return false;
    }
  }
  return true;
}

std::optional<base::Error> ValidateFields(int line, const Fields& values,
                                          const Fields& field_names) {
  for (size_t i = 0; i < field_names.size(); ++i) {
    if (i >= values.size()) {
      return LineError(line, field_names[i], "is missing");
    }
  }
  if (values.size() > field_names.size()) {
    return LineError(line, field_names.back(), "is followed by unexpected text");
  }
  const std::string& name = values.front();
  if (name.size() > kMaximumNameBytes || name.find(':') != std::string::npos) {
    return LineError(line, field_names.front(), "must have 1 to 128 bytes and no ':'");
  }
  const std::string& secret = values.back();
  if (secret.size() < kMinimumSecretBytes || secret.size() > kMaximumSecretBytes ||
      !IsPrintable(secret)) {
    return LineError(line, field_names.back(), "must have 16 to 256 printable characters");
  }
  return std::nullopt;
}

/// Calls `read_line(line_number, values)` for each line that holds a credential; stops at the first
/// error.
template <typename Function>
std::optional<base::Error> ParseLines(const std::string& text, const Fields& field_names,
                                      Function read_line) {
  std::istringstream stream(text);
  std::set<std::string> names;
  std::string line;
  for (int line_number = 1; std::getline(stream, line); ++line_number) {
    std::istringstream field_stream(line);
    Fields values;
    for (std::string value; field_stream >> value;) {
      values.push_back(value);
    }
    if (values.empty() || values.front().front() == '#') {
      continue;
    }
    std::optional<base::Error> error = ValidateFields(line_number, values, field_names);
    if (!error && !names.insert(values.front()).second) {
      error = LineError(line_number, field_names.front(),
                        "'" + values.front() + "' occurs more than once");
    }
    if (!error) {
      error = read_line(line_number, values);
    }
    if (error) {
      return error;
    }
  }
  if (names.empty()) {
    return base::Error{base::ErrorCode::kInvalidArgument, field_names.front(),
                       "no line contains a " + field_names.front(),
                       base::ExecutionVerdict::kNotRun};
  }
  return std::nullopt;
}

}  // namespace

base::Result<std::vector<OperatorToken>> ParseOperatorTokens(const std::string& text) {
  std::vector<OperatorToken> tokens;
  const auto read_line = [&](int line, const Fields& values) -> std::optional<base::Error> {
    if (values[1] != "reading" && values[1] != "changing") {
      return LineError(line, "role", "must be 'reading' or 'changing'");
    }
    const OperatorRole role =
        values[1] == "changing" ? OperatorRole::kReadWrite : OperatorRole::kReadOnly;
    tokens.push_back({values[0], role, values[2]});
    return std::nullopt;
  };
  const auto error = ParseLines(text, {"name", "role", "secret"}, read_line);
  if (error) {
    return tl::make_unexpected(*error);
  }
  return tokens;
}

base::Result<std::vector<TeamKey>> ParseTeamKeys(const std::string& text) {
  std::vector<TeamKey> keys;
  const auto read_line = [&](int /*line*/, const Fields& values) -> std::optional<base::Error> {
    keys.push_back({base::TeamId(values[0]), values[1]});
    return std::nullopt;
  };
  const auto error = ParseLines(text, {"team", "secret"}, read_line);
  if (error) {
    return tl::make_unexpected(*error);
  }
  return keys;
}

}  // namespace sapphirecrank::frontend
