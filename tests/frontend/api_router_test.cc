#include "frontend/api_router.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::SubmissionId;
using base::TeamId;
using frontend::ApiRouter;
using frontend::HttpRequest;
using frontend::HttpResponse;

TEST_GROUP(ApiRouter) {
  ApiRouter MakeRouter() {
    ApiRouter::Hooks hooks;
    hooks.run_work = [this](frontend::SubmittedWork work,
                            const ApiRouter::ResultCallback& on_answer) {
      this->run.push_back(work.team.value());
      on_answer({std::nullopt, {{true, base::ExecutionVerdict::kRan, "1", {}}}});
    };
    hooks.cancel_job = [this](const SubmissionId& submission) {
      this->cancelled.push_back(submission.value());
      return base::Result<void>();
    };
    hooks.team_of_job = [this](const SubmissionId&) { return this->job_team; };
    hooks.on_work_rejected = [this](const base::Error& error) { this->refused.push_back(error); };
    hooks.begin_drain = [this] { ++this->drains; };
    return ApiRouter(hooks);
  }

  int Send(const std::string& method, const std::string& path, const std::string& team,
           const std::string& body = "") {
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.authenticated_team = TeamId(team);
    request.body = body;
    int status = 0;
    this->MakeRouter().HandleRequest(
        request, [&](const HttpResponse& response) { status = response.status; });
    return status;
  }

  TeamId job_team{"tags"};
  std::vector<std::string> run;
  std::vector<std::string> cancelled;
  std::vector<base::Error> refused;
  int drains = 0;
};

// Guards against work that a team submits in another team's name.
TEST(ApiRouter, WorkOfAnotherTeamIsRefusedAndNotRun) {
  const std::string job = R"({"submission": "ba:1", "team": "tags", "tasks": [{}]})";
  LONGS_EQUAL(403, this->Send("POST", "/v1/jobs", "maps", job));
  LONGS_EQUAL(403, this->Send("POST", "/v1/requests", "maps", R"({"team": "tags"})"));
  LONGS_EQUAL(0, this->run.size());
  LONGS_EQUAL(2, this->refused.size());
  STRCMP_EQUAL("team", this->refused[0].field.c_str());
  CHECK(this->refused[0].verdict == base::ExecutionVerdict::kNotRun);
  LONGS_EQUAL(200, this->Send("POST", "/v1/jobs", "tags", job));
  LONGS_EQUAL(200, this->Send("POST", "/v1/jobs", "", job));
  LONGS_EQUAL(2, this->run.size());
}

// Guards against a team that cancels another team's job.
TEST(ApiRouter, JobsOfAnotherTeamAreNotCancelled) {
  LONGS_EQUAL(403, this->Send("DELETE", "/v1/jobs/ba:1", "maps"));
  LONGS_EQUAL(0, this->cancelled.size());
  LONGS_EQUAL(200, this->Send("DELETE", "/v1/jobs/ba:1", "tags"));
  STRCMP_EQUAL("ba:1", this->cancelled.at(0).c_str());
}

// Guards against a team that cancels another team's job through a host that doesn't know whose it
// is.
TEST(ApiRouter, JobsOfUnknownTeamsAreCancelledOnlyByOperators) {
  this->job_team = TeamId();
  LONGS_EQUAL(404, this->Send("DELETE", "/v1/jobs/ba:1", "maps"));
  LONGS_EQUAL(0, this->cancelled.size());
  LONGS_EQUAL(200, this->Send("DELETE", "/v1/jobs/ba:1", ""));
  LONGS_EQUAL(1, this->cancelled.size());
}

// Guards against refusals of malformed work that the metrics don't see.
TEST(ApiRouter, MalformedWorkIsCounted) {
  LONGS_EQUAL(400, this->Send("POST", "/v1/jobs", "", "{"));
  LONGS_EQUAL(1, this->refused.size());
}

// Guards against a host that drains on another method or path.
TEST(ApiRouter, OnlyPostDrains) {
  LONGS_EQUAL(404, this->Send("GET", "/v1/drain", ""));
  LONGS_EQUAL(404, this->Send("POST", "/v1/drain/x", ""));
  LONGS_EQUAL(0, this->drains);
  LONGS_EQUAL(200, this->Send("POST", "/v1/drain", ""));
  LONGS_EQUAL(1, this->drains);
}
