#pragma once

#include <string>
#include <vector>

#include "configuration/settings.h"
#include "frontend/operator_token.h"
#include "frontend/team_key.h"

namespace sapphirecrank::cli {

/// The settings of an entry host and the contents of the files that they name.
struct EntryHostConfiguration {
  configuration::Settings settings;
  std::string shared_secret;
  std::vector<frontend::OperatorToken> operator_tokens;
  std::vector<frontend::TeamKey> team_keys;
};

}  // namespace sapphirecrank::cli
