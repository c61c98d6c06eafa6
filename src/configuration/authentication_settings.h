#pragma once

#include <string>

namespace sapphirecrank::configuration {

/// Files with credentials; an empty name leaves that side open.
struct AuthenticationSettings {
  /// Operators' tokens, for reading the status and for changes.
  std::string operator_tokens_file;
  /// Teams' keys, for submitting and cancelling work.
  std::string team_keys_file;
};

}  // namespace sapphirecrank::configuration
