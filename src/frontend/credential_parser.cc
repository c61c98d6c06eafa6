#include "frontend/credential_parser.h"

#include <optional>
#include <set>
#include <sstream>

namespace sapphirecrank::frontend {

namespace {

constexpr size_t kMaximumSecretBytes = 256;
constexpr size_t kMaximumNameBytes = 128;

using Words = std::vector<std::string>;

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

std::optional<base::Error> ValidateWords(int line, const Words& words, const Words& fields) {
  for (size_t i = 0; i < fields.size(); ++i) {
    if (i >= words.size()) {
      return LineError(line, fields[i], "is missing");
    }
  }
  if (words.size() > fields.size()) {
    return LineError(line, fields.back(), "is followed by further words");
  }
  const std::string& name = words.front();
  if (name.size() > kMaximumNameBytes || name.find(':') != std::string::npos) {
    return LineError(line, fields.front(), "must have 1 to 128 bytes without ':'");
  }
  const std::string& secret = words.back();
  if (secret.size() < kMinimumSecretBytes || secret.size() > kMaximumSecretBytes ||
      !IsPrintable(secret)) {
    return LineError(line, fields.back(), "must have 16 to 256 printable characters");
  }
  return std::nullopt;
}

/// Calls `read(line, words)` for each line that holds a credential.
template <typename Function>
std::optional<base::Error> ParseLines(const std::string& text, const Words& fields, Function read) {
  std::istringstream stream(text);
  std::set<std::string> names;
  std::string line;
  for (int number = 1; std::getline(stream, line); ++number) {
    std::istringstream line_stream(line);
    Words words;
    for (std::string word; line_stream >> word;) {
      words.push_back(word);
    }
    if (words.empty() || words.front().front() == '#') {
      continue;
    }
    std::optional<base::Error> fault = ValidateWords(number, words, fields);
    if (!fault && !names.insert(words.front()).second) {
      fault = LineError(number, fields.front(), "'" + words.front() + "' occurs twice");
    }
    if (!fault) {
      fault = read(number, words);
    }
    if (fault) {
      return fault;
    }
  }
  if (names.empty()) {
    return base::Error{base::ErrorCode::kInvalidArgument, fields.front(),
                       "no line holds a " + fields.front(), base::ExecutionVerdict::kNotRun};
  }
  return std::nullopt;
}

}  // namespace

base::Result<std::vector<OperatorToken>> ParseOperatorTokens(const std::string& text) {
  std::vector<OperatorToken> tokens;
  const auto read = [&](int line, const Words& words) -> std::optional<base::Error> {
    if (words[1] != "reading" && words[1] != "changing") {
      return LineError(line, "role", "must be 'reading' or 'changing'");
    }
    const OperatorRole role =
        words[1] == "changing" ? OperatorRole::kReadWrite : OperatorRole::kReadOnly;
    tokens.push_back({words[0], role, words[2]});
    return std::nullopt;
  };
  const auto fault = ParseLines(text, {"name", "role", "secret"}, read);
  if (fault) {
    return tl::make_unexpected(*fault);
  }
  return tokens;
}

base::Result<std::vector<TeamKey>> ParseTeamKeys(const std::string& text) {
  std::vector<TeamKey> keys;
  const auto read = [&](int /*line*/, const Words& words) -> std::optional<base::Error> {
    keys.push_back({base::TeamId(words[0]), words[1]});
    return std::nullopt;
  };
  const auto fault = ParseLines(text, {"team", "secret"}, read);
  if (fault) {
    return tl::make_unexpected(*fault);
  }
  return keys;
}

}  // namespace sapphirecrank::frontend
