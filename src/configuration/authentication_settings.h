#pragma once

#include <string>

namespace sapphirecrank::configuration {

/// Names of files with credentials. An empty name turns authentication off for that kind of
/// request.
struct AuthenticationSettings {
  /// File with the tokens of operators, who read the status and make changes.
  std::string operator_tokens_file;
  /// File with the keys of teams, which submit and cancel work.
  std::string team_keys_file;
};

}  // namespace sapphirecrank::configuration
