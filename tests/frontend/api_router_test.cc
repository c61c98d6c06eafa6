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
                            const ApiRouter::ResultCallback& on_result) {
      this->submitting_teams.push_back(work.team.value());
      on_result({std::nullopt, {{true, base::ExecutionVerdict::kRan, "1", {}}}});
    };
    hooks.cancel_job = [this](const SubmissionId& submission) {
      this->cancelled_submissions.push_back(submission.value());
      return base::Result<void>();
    };
    hooks.team_of_job = [this](const SubmissionId&) { return this->job_team; };
    hooks.on_work_rejected = [this](const base::Error& error) {
      this->rejection_errors.push_back(error);
    };
    hooks.begin_drain = [this] { ++this->drain_count; };
    return ApiRouter(hooks);
  }

  int SendRequest(const std::string& method, const std::string& path, const std::string& team,
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
  std::vector<std::string> submitting_teams;
  std::vector<std::string> cancelled_submissions;
  std::vector<base::Error> rejection_errors;
  int drain_count = 0;
};

// Guards against work that a team submits in another team's name.
TEST(ApiRouter, WorkOfAnotherTeamIsRejectedAndNotRun) {
  const std::string job = R"({"submission": "ba:1", "team": "tags", "tasks": [{}]})";
  LONGS_EQUAL(403, this->SendRequest("POST", "/v1/jobs", "maps", job));
  LONGS_EQUAL(403, this->SendRequest("POST", "/v1/requests", "maps", R"({"team": "tags"})"));
  LONGS_EQUAL(0, this->submitting_teams.size());
  LONGS_EQUAL(2, this->rejection_errors.size());
  STRCMP_EQUAL("team", this->rejection_errors[0].field.c_str());
  CHECK(this->rejection_errors[0].verdict == base::ExecutionVerdict::kNotRun);
  LONGS_EQUAL(200, this->SendRequest("POST", "/v1/jobs", "tags", job));
  LONGS_EQUAL(200, this->SendRequest("POST", "/v1/jobs", "", job));
  LONGS_EQUAL(2, this->submitting_teams.size());
}

// Guards against a team that cancels another team's job.
TEST(ApiRouter, JobsOfAnotherTeamAreNotCancelled) {
  LONGS_EQUAL(403, this->SendRequest("DELETE", "/v1/jobs/ba:1", "maps"));
  LONGS_EQUAL(0, this->cancelled_submissions.size());
  LONGS_EQUAL(200, this->SendRequest("DELETE", "/v1/jobs/ba:1", "tags"));
  STRCMP_EQUAL("ba:1", this->cancelled_submissions.at(0).c_str());
}

// Guards against a team that cancels another team's job through a host that doesn't know which team
// owns the job.
TEST(ApiRouter, JobsOfUnknownTeamsAreCancelledOnlyByOperators) {
  this->job_team = TeamId();
  LONGS_EQUAL(404, this->SendRequest("DELETE", "/v1/jobs/ba:1", "maps"));
  LONGS_EQUAL(0, this->cancelled_submissions.size());
  LONGS_EQUAL(200, this->SendRequest("DELETE", "/v1/jobs/ba:1", ""));
  LONGS_EQUAL(1, this->cancelled_submissions.size());
}

// Guards against malformed work whose rejection isn't reported to the metrics.
TEST(ApiRouter, MalformedWorkIsReported) {
  LONGS_EQUAL(400, this->SendRequest("POST", "/v1/jobs", "", "{"));
  LONGS_EQUAL(1, this->rejection_errors.size());
}

// Guards against a drain that is started by another method or path.
TEST(ApiRouter, OnlyPostStartsADrain) {
  LONGS_EQUAL(404, this->SendRequest("GET", "/v1/drain", ""));
  LONGS_EQUAL(404, this->SendRequest("POST", "/v1/drain/x", ""));
  LONGS_EQUAL(0, this->drain_count);
  LONGS_EQUAL(200, this->SendRequest("POST", "/v1/drain", ""));
  LONGS_EQUAL(1, this->drain_count);
}
