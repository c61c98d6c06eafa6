#include "frontend/api_router.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "frontend/response_writer.h"
#include "frontend/work_parser.h"

namespace sapphirecrank::frontend {

using base::ErrorCode;

namespace {

constexpr const char* kJobPathPrefix = "/v1/jobs/";

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

HttpResponse OkResponse(std::string body) {
  HttpResponse response;
  response.body = std::move(body);
  return response;
}

base::Error TeamMismatchError(const base::TeamId& team) {
  return {ErrorCode::kPermissionDenied, "team",
          "the presented key belongs to team '" + team.value() + "'",
          base::ExecutionVerdict::kNotRun};
}

/// Returns `work`, or an error if the caller is authenticated as another team.
base::Result<SubmittedWork> CheckTeam(const HttpRequest& request, SubmittedWork work) {
  if (!request.authenticated_team.empty() && request.authenticated_team != work.team) {
    return tl::make_unexpected(TeamMismatchError(request.authenticated_team));
  }
  return work;
}

}  // namespace

ApiRouter::ApiRouter(Hooks hooks) : hooks(std::move(hooks)) {}

void ApiRouter::HandleRequest(const HttpRequest& request, const ResponseCallback& respond) const {
  const std::string& path = request.path;
  if (request.method == "POST" && path == "/v1/jobs") {
    this->RunJob(request, respond);
  } else if (request.method == "POST" && path == "/v1/requests") {
    this->RunRequest(request, respond);
  } else if (request.method == "DELETE" && StartsWith(path, kJobPathPrefix)) {
    this->CancelJob(request, respond);
  } else if (request.method == "POST" && path == "/v1/targets") {
    this->HandleAnnouncement(request, respond);
  } else if (request.method == "POST" && path == "/v1/drain") {
    this->hooks.begin_drain();
    respond(OkResponse(R"({"state":"draining"})"));
  } else if (request.method == "GET" && path == "/v1/status") {
    respond(OkResponse(this->hooks.status_document()));
  } else if (request.method == "GET" && path == "/metrics") {
    HttpResponse response = OkResponse(this->hooks.metrics_text());
    response.content_type = "text/plain; version=0.0.4";
    respond(response);
  } else {
    respond(ErrorResponse(
        {ErrorCode::kNotFound, "path", "no such resource: " + request.method + " " + path}));
  }
}

void ApiRouter::RunJob(const HttpRequest& request, const ResponseCallback& respond) const {
  auto work = ParseJob(request.body);
  if (work) {
    work = CheckTeam(request, std::move(*work));
  }
  if (!work) {
    this->RejectWork(work.error(), respond);
    return;
  }
  const base::SubmissionId submission = work->submission;
  this->hooks.run_work(std::move(*work), [submission, respond](const WorkResult& result) {
    respond(JobResponse(submission, result));
  });
}

void ApiRouter::RunRequest(const HttpRequest& request, const ResponseCallback& respond) const {
  auto work = ParseRequest(request.body);
  if (work) {
    work = CheckTeam(request, std::move(*work));
  }
  if (!work) {
    this->RejectWork(work.error(), respond);
    return;
  }
  this->hooks.run_work(std::move(*work),
                       [respond](const WorkResult& result) { respond(RequestResponse(result)); });
}

void ApiRouter::RejectWork(const base::Error& error, const ResponseCallback& respond) const {
  this->hooks.on_work_rejected(error);
  respond(ErrorResponse(error));
}

void ApiRouter::CancelJob(const HttpRequest& request, const ResponseCallback& respond) const {
  const base::SubmissionId submission(request.path.substr(std::string(kJobPathPrefix).size()));
  const base::TeamId team = this->hooks.team_of_job(submission);
  // A team may cancel only on a host that knows the job: other hosts can't tell which team owns it.
  if (!request.authenticated_team.empty() && team.empty()) {
    respond(ErrorResponse({ErrorCode::kNotFound, "submission",
                           "no such job is in progress on this host",
                           base::ExecutionVerdict::kMayHaveRun}));
    return;
  }
  if (!request.authenticated_team.empty() && team != request.authenticated_team) {
    respond(ErrorResponse(TeamMismatchError(request.authenticated_team)));
    return;
  }
  const auto cancelled = this->hooks.cancel_job(submission);
  respond(cancelled ? OkResponse(R"({"state":"cancelling"})") : ErrorResponse(cancelled.error()));
}

void ApiRouter::HandleAnnouncement(const HttpRequest& request,
                                   const ResponseCallback& respond) const {
  const auto announcement = ParseAnnouncement(request.body);
  if (!announcement) {
    respond(ErrorResponse(announcement.error()));
    return;
  }
  const auto owner = this->hooks.on_announcement(*announcement);
  if (!owner) {
    respond(ErrorResponse(owner.error()));
    return;
  }
  respond(OkResponse(nlohmann::json({{"owner", owner->value()}}).dump()));
}

}  // namespace sapphirecrank::frontend
