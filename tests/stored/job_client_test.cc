#include "stored/job_client.h"

#include <CppUTest/TestHarness.h>

#include <optional>
#include <utility>
#include <vector>

#include "base/manual_clock.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using stored::JobRequest;
using stored::JobResponse;
using Outcome = JobResponse::Outcome;

TEST_GROUP(JobClient) {
  base::ManualClock clock;
  std::vector<base::HostId> reachable_allocators = {base::HostId("a"), base::HostId("b")};
  std::vector<std::pair<base::HostId, JobRequest>> sent_requests;
  std::optional<JobResponse> last_response;
  stored::JobClient client{{this->clock.AsClock(), [this] { return this->reachable_allocators; },
                            [this](const base::HostId& host, const JobRequest& request) {
                              this->sent_requests.emplace_back(host, request);
                              return true;
                            }}};

  void Submit() {
    gateway::Job job;
    job.id = base::SubmissionId("job");
    this->client.Submit(job, milliseconds(1500),
                        [this](const JobResponse& response) { this->last_response = response; });
  }

  void Respond(Outcome outcome, const char* leader = "") {
    JobResponse response;
    response.request_number = this->sent_requests.back().second.request_number;
    response.outcome = outcome;
    response.leader = base::HostId(leader);
    const base::HostId from = this->sent_requests.back().first;
    this->client.OnResponse(from, response);
  }

  void AdvanceTime(int duration_ms) {
    this->clock.Advance(milliseconds(duration_ms));
    this->client.Tick();
  }
};

// Guards against a request that gets stuck at a host that isn't the leader, and against sending the
// next request to that host first.
TEST(JobClient, FollowsLeader) {
  this->Submit();
  CHECK(this->sent_requests.back().first == base::HostId("a"));
  this->Respond(Outcome::kNotLeader, "b");
  CHECK(this->sent_requests.back().first == base::HostId("b"));
  this->Respond(Outcome::kDone);
  CHECK(this->last_response->outcome == Outcome::kDone);
  this->Submit();
  CHECK(this->sent_requests.back().first == base::HostId("b"));
}

// Guards against reporting a job as refused although an allocator may have stored it.
TEST(JobClient, ReportsUncertainOutcomeWithoutResponse) {
  this->Submit();
  this->AdvanceTime(1600);
  CHECK(this->last_response->outcome == Outcome::kUncertain);
  LONGS_EQUAL(0, this->client.PendingRequestCount());
}

// Guards against an uncertain outcome for a job that no host can have stored. The caller would have
// to query its state needlessly.
TEST(JobClient, RefusesRequestThatNoHostAccepted) {
  this->reachable_allocators.clear();
  this->Submit();
  this->AdvanceTime(1600);
  CHECK(this->last_response->outcome == Outcome::kRefused);
  this->reachable_allocators = {base::HostId("a")};
  this->Submit();
  this->Respond(Outcome::kNotLeader);
  this->clock.Advance(milliseconds(1600));
  this->client.Tick();
  CHECK(this->last_response->outcome == Outcome::kRefused);
}

// Guards against reporting a job as refused by one allocator although a lost one may have stored
// it.
TEST(JobClient, RefusalAfterLostRequestIsUncertain) {
  this->Submit();
  this->reachable_allocators = {base::HostId("b")};
  this->client.OnAllocatorLost(base::HostId("a"));
  this->AdvanceTime(25);
  CHECK(this->sent_requests.back().first == base::HostId("b"));
  this->Respond(Outcome::kRefused);
  CHECK(this->last_response->outcome == Outcome::kUncertain);
}

// Guards against a request that waits for its deadline because its first message was lost.
TEST(JobClient, ResendsRequestWithoutResponse) {
  this->Submit();
  this->AdvanceTime(1000);
  LONGS_EQUAL(2, this->sent_requests.size());
  CHECK(this->sent_requests.back().first == base::HostId("b"));
  this->Respond(Outcome::kDone);
  CHECK(this->last_response->outcome == Outcome::kDone);
}

// Guards against a response to a request of an earlier process on the same address that is taken
// for the response to one of this process: a job that isn't stored would be reported as accepted.
TEST(JobClient, IgnoresResponsesToAnEarlierProcess) {
  stored::JobClient next_process{
      {this->clock.AsClock(), [this] { return this->reachable_allocators; },
       [](const base::HostId&, const stored::JobRequest&) { return true; }},
      base::JobRequestNumber(1000)};
  int response_count = 0;
  next_process.Submit(gateway::Job(), std::chrono::seconds(1),
                      [&response_count](const stored::JobResponse&) { ++response_count; });
  stored::JobResponse response;
  for (uint64_t number = 0; number < 1000; ++number) {
    response.request_number = base::JobRequestNumber(number);
    next_process.OnResponse(base::HostId("a1"), response);
  }
  LONGS_EQUAL(0, response_count);
  response.request_number = base::JobRequestNumber(1000);
  next_process.OnResponse(base::HostId("a1"), response);
  LONGS_EQUAL(1, response_count);
}
