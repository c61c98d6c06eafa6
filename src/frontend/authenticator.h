#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "frontend/http_request.h"
#include "frontend/operator_role.h"
#include "frontend/operator_token.h"
#include "frontend/team_key.h"

namespace sapphirecrank::frontend {

/// Authenticates operators and teams by the header `Authorization: Bearer NAME:SECRET`.
///
/// The name selects the operator or team. The time to compare the secrets doesn't depend on where
/// they differ. Thread safety: all methods may be called from any thread.
class Authenticator {
 public:
  /// Without `tokens`, operators aren't authenticated; without `keys`, teams aren't.
  Authenticator(const std::vector<OperatorToken>& tokens, const std::vector<TeamKey>& keys);

  bool RequiresOperatorToken() const { return !this->operators_by_name.empty(); }
  bool RequiresTeamKey() const { return !this->team_secrets.empty(); }

  /// Returns the operator's name, empty if operators aren't authenticated. Errors:
  /// `kUnauthenticated` for a missing or wrong token, `kPermissionDenied` for a token without
  /// `required_role`.
  base::Result<std::string> AuthenticateOperator(const HttpRequest& request,
                                                 OperatorRole required_role) const;

  /// Returns the team that the request's key belongs to, empty if teams aren't authenticated.
  /// Error: `kUnauthenticated` for a missing or wrong key.
  base::Result<base::TeamId> AuthenticateTeam(const HttpRequest& request) const;

 private:
  struct OperatorEntry {
    OperatorRole role;
    std::string secret;
  };

  std::unordered_map<std::string, OperatorEntry> operators_by_name;
  std::unordered_map<std::string, std::string> team_secrets;
};

}  // namespace sapphirecrank::frontend
