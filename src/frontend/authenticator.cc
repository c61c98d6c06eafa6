#include "frontend/authenticator.h"

#include <cstdint>
#include <optional>

namespace sapphirecrank::frontend {

using base::ErrorCode;
using base::MakeErrorResult;

namespace {

constexpr const char* kBearerPrefix = "Bearer ";
constexpr const char* kAuthorizationHeader = "authorization";

struct Credential {
  std::string name;
  std::string secret;
};

std::optional<Credential> ParseCredential(const HttpRequest& request) {
  const auto header = request.headers.find(kAuthorizationHeader);
  const std::string scheme = kBearerPrefix;
  if (header == request.headers.end() || header->second.compare(0, scheme.size(), scheme) != 0) {
    return std::nullopt;
  }
  const std::string text = header->second.substr(scheme.size());
  const size_t colon = text.find(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  return Credential{text.substr(0, colon), text.substr(colon + 1)};
}

/// Compares two secrets in a time that depends only on the length of `presented`.
bool EqualsSecret(const std::string& expected, const std::string& presented) {
  // An unknown name has no secret. `presented` is then compared with itself, so that the response
  // time doesn't reveal which names are known.
  const std::string& compared = expected.empty() ? presented : expected;
  volatile uint8_t difference = expected.empty() || expected.size() != presented.size() ? 1 : 0;
  for (size_t i = 0; i < presented.size(); ++i) {
    const auto presented_byte = static_cast<uint8_t>(presented[i]);
    const auto compared_byte = static_cast<uint8_t>(compared[i % compared.size()]);
    difference = difference | (presented_byte ^ compared_byte);
  }
  return difference == 0;
}

base::Error MissingCredentialError(const std::string& credential_description) {
  return {ErrorCode::kUnauthenticated, kAuthorizationHeader,
          credential_description + " is required: Authorization: Bearer NAME:SECRET",
          base::ExecutionVerdict::kNotRun};
}

}  // namespace

Authenticator::Authenticator(const std::vector<OperatorToken>& tokens,
                             const std::vector<TeamKey>& keys) {
  for (const OperatorToken& token : tokens) {
    this->operators_by_name.emplace(token.name, OperatorEntry{token.role, token.secret});
  }
  for (const TeamKey& key : keys) {
    this->team_secrets.emplace(key.team.value(), key.secret);
  }
}

base::Result<std::string> Authenticator::AuthenticateOperator(const HttpRequest& request,
                                                              OperatorRole required_role) const {
  if (!this->RequiresOperatorToken()) {
    return std::string();
  }
  const auto credential = ParseCredential(request);
  if (!credential) {
    return tl::make_unexpected(MissingCredentialError("an operator's token"));
  }
  const auto found = this->operators_by_name.find(credential->name);
  const bool is_known_operator = found != this->operators_by_name.end();
  if (!EqualsSecret(is_known_operator ? found->second.secret : "", credential->secret)) {
    return MakeErrorResult(ErrorCode::kUnauthenticated, "unknown operator or wrong token",
                           kAuthorizationHeader);
  }
  if (required_role == OperatorRole::kReadWrite && found->second.role != OperatorRole::kReadWrite) {
    return MakeErrorResult(ErrorCode::kPermissionDenied, "this token is read-only",
                           kAuthorizationHeader);
  }
  return credential->name;
}

base::Result<base::TeamId> Authenticator::AuthenticateTeam(const HttpRequest& request) const {
  if (!this->RequiresTeamKey()) {
    return base::TeamId();
  }
  const auto credential = ParseCredential(request);
  if (!credential) {
    return tl::make_unexpected(MissingCredentialError("a team's key"));
  }
  const auto found = this->team_secrets.find(credential->name);
  if (!EqualsSecret(found == this->team_secrets.end() ? "" : found->second, credential->secret)) {
    return MakeErrorResult(ErrorCode::kUnauthenticated, "unknown team or wrong key",
                           kAuthorizationHeader);
  }
  return base::TeamId(credential->name);
}

}  // namespace sapphirecrank::frontend
