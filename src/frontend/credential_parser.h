#pragma once

#include <string>
#include <vector>

#include "base/result.h"
#include "frontend/operator_token.h"
#include "frontend/team_key.h"

namespace sapphirecrank::frontend {

/// Minimum length of a secret, in bytes.
constexpr size_t kMinimumSecretBytes = 16;

/// Parses lines "NAME ROLE SECRET"; the role is "reading" or "changing". Empty lines and lines that
/// begin with "#" are skipped. Error: `kInvalidArgument`; its message names the line and the field,
/// never the secret. Thread safety: pure.
base::Result<std::vector<OperatorToken>> ParseOperatorTokens(const std::string& text);

/// Parses lines "TEAM SECRET" in the same way.
base::Result<std::vector<TeamKey>> ParseTeamKeys(const std::string& text);

}  // namespace sapphirecrank::frontend
