#include "frontend/access_control.h"

#include <utility>

#include "frontend/response_writer.h"

namespace sapphirecrank::frontend {

namespace {

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

bool IsReadRequest(const HttpRequest& request) {
  return request.method == "GET" && (request.path == "/metrics" || request.path == "/v1/status");
}

bool IsWorkRequest(const HttpRequest& request) {
  return request.path == "/v1/jobs" || request.path == "/v1/requests" ||
         StartsWith(request.path, "/v1/jobs/");
}

bool IsTargetAnnouncement(const HttpRequest& request) {
  return request.method == "POST" && request.path == "/v1/targets";
}

}  // namespace

AccessControl::AccessControl(Authenticator authenticator, Hooks hooks)
    : authenticator(std::move(authenticator)), hooks(std::move(hooks)) {}

void AccessControl::HandleRequest(const HttpRequest& request,
                                  const ResponseCallback& respond) const {
  if (IsTargetAnnouncement(request)) {
    this->hooks.handle_request(request, respond);
  } else if (IsReadRequest(request)) {
    this->AuthorizeRead(request, respond);
  } else if (IsWorkRequest(request)) {
    this->AuthorizeWork(request, respond);
  } else {
    this->AuthorizeChange(request, respond);
  }
}

void AccessControl::AuthorizeRead(const HttpRequest& request,
                                  const ResponseCallback& respond) const {
  const auto name = this->authenticator.AuthenticateOperator(request, OperatorRole::kReadOnly);
  if (!name) {
    this->RejectRequest(request, name.error(), respond);
    return;
  }
  this->hooks.handle_request(request, respond);
}

void AccessControl::AuthorizeChange(const HttpRequest& request,
                                    const ResponseCallback& respond) const {
  const auto name = this->authenticator.AuthenticateOperator(request, OperatorRole::kReadWrite);
  if (!name) {
    const HttpResponse response = ErrorResponse(name.error());
    // If the credential is valid but read-only, the audit entry names its operator.
    const auto read_only_operator =
        this->authenticator.AuthenticateOperator(request, OperatorRole::kReadOnly);
    this->hooks.write_audit_entry(request, read_only_operator.value_or(""), response.status);
    respond(response);
    return;
  }
  this->hooks.handle_request(request,
                             [this, request, name = *name, respond](const HttpResponse& response) {
                               this->hooks.write_audit_entry(request, name, response.status);
                               respond(response);
                             });
}

void AccessControl::AuthorizeWork(const HttpRequest& request,
                                  const ResponseCallback& respond) const {
  if (request.method == "DELETE" && this->authenticator.RequiresOperatorToken() &&
      this->authenticator.AuthenticateOperator(request, OperatorRole::kReadWrite)) {
    this->AuthorizeChange(request, respond);
    return;
  }
  const auto team = this->authenticator.AuthenticateTeam(request);
  if (!team) {
    this->RejectRequest(request, team.error(), respond);
    return;
  }
  if (team->empty()) {
    this->hooks.handle_request(request, respond);
    return;
  }
  HttpRequest team_request = request;
  team_request.authenticated_team = *team;
  this->hooks.handle_request(team_request, respond);
}

void AccessControl::RejectRequest(const HttpRequest& request, const base::Error& error,
                                  const ResponseCallback& respond) const {
  this->hooks.on_request_rejected(request, error);
  respond(ErrorResponse(error));
}

}  // namespace sapphirecrank::frontend
