#pragma once

#include <string>
#include <vector>

#include "base/result.h"
#include "frontend/operator_token.h"
#include "frontend/team_key.h"

namespace sapphirecrank::frontend {

/// Shortest secret that is accepted, in bytes.
constexpr size_t kMinimumSecretBytes = 16;

/// Reads lines "NAME ROLE SECRET", role "reading" or "changing"; empty lines and those that begin
/// with "#" are skipped. Errors name the line and the field, never the secret. Thread safety: pure.
base::Result<std::vector<OperatorToken>> ParseOperatorTokens(const std::string& text);

/// Reads lines "TEAM SECRET" in the same way.
base::Result<std::vector<TeamKey>> ParseTeamKeys(const std::string& text);

}  // namespace sapphirecrank::frontend
