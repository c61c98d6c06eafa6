#include "stored/job_client.h"

#include <CppUTest/TestHarness.h>

#include <optional>
#include <utility>
#include <vector>

#include "base/manual_clock.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using stored::JobReply;
using stored::JobRequest;
using Outcome = JobReply::Outcome;

TEST_GROUP(JobClient) {
  base::ManualClock clock;
  std::vector<base::HostId> up = {base::HostId("a"), base::HostId("b")};
  std::vector<std::pair<base::HostId, JobRequest>> sent;
  std::optional<JobReply> answer;
  stored::JobClient client{{this->clock.AsClock(), [this] { return this->up; },
                            [this](const base::HostId& host, const JobRequest& request) {
                              this->sent.emplace_back(host, request);
                              return true;
                            }}};

  void Submit() {
    gateway::Job job;
    job.id = base::SubmissionId("job");
    this->client.Submit(job, milliseconds(1500),
                        [this](const JobReply& reply) { this->answer = reply; });
  }

  void Reply(Outcome outcome, const char* leader = "") {
    JobReply reply;
    reply.request_number = this->sent.back().second.request_number;
    reply.outcome = outcome;
    reply.leader = base::HostId(leader);
    const base::HostId from = this->sent.back().first;
    this->client.OnReply(from, reply);
  }

  void Pass(int count) {
    this->clock.Advance(milliseconds(count));
    this->client.Tick();
  }
};

// Guards against requests that end at a host that doesn't lead, and against asking it first again.
TEST(JobClient, FollowsTheLeader) {
  this->Submit();
  CHECK(this->sent.back().first == base::HostId("a"));
  this->Reply(Outcome::kNotLeader, "b");
  CHECK(this->sent.back().first == base::HostId("b"));
  this->Reply(Outcome::kDone);
  CHECK(this->answer->outcome == Outcome::kDone);
  this->Submit();
  CHECK(this->sent.back().first == base::HostId("b"));
}

// Guards against a refusal of a job that an allocator may have stored.
TEST(JobClient, IsUncertainOfARequestWithoutAReply) {
  this->Submit();
  this->Pass(1600);
  CHECK(this->answer->outcome == Outcome::kUncertain);
  LONGS_EQUAL(0, this->client.PendingRequestCount());
}

// Guards against an uncertain answer for a job that nobody can have stored: its caller would have
// to ask again.
TEST(JobClient, RefusesWhatNoHostHasTaken) {
  this->up.clear();
  this->Submit();
  this->Pass(1600);
  CHECK(this->answer->outcome == Outcome::kRefused);
  this->up = {base::HostId("a")};
  this->Submit();
  this->Reply(Outcome::kNotLeader);
  this->clock.Advance(milliseconds(1600));
  this->client.Tick();
  CHECK(this->answer->outcome == Outcome::kRefused);
}

// Guards against a refusal of one allocator for what a lost one may have stored.
TEST(JobClient, ARefusalAfterALostRequestIsUncertain) {
  this->Submit();
  this->up = {base::HostId("b")};
  this->client.OnAllocatorLost(base::HostId("a"));
  this->Pass(25);
  CHECK(this->sent.back().first == base::HostId("b"));
  this->Reply(Outcome::kRefused);
  CHECK(this->answer->outcome == Outcome::kUncertain);
}

// Guards against a request that waits for its deadline because its first sending was lost.
TEST(JobClient, SendsARequestWithoutAReplyAgain) {
  this->Submit();
  this->Pass(1000);
  LONGS_EQUAL(2, this->sent.size());
  CHECK(this->sent.back().first == base::HostId("b"));
  this->Reply(Outcome::kDone);
  CHECK(this->answer->outcome == Outcome::kDone);
}
