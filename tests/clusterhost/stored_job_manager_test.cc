#include "clusterhost/stored_job_manager.h"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "base/manual_clock.h"
#include "observability/logger.h"
#include "stored/job_command.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using clusterhost::ProposalOutcome;
using clusterhost::StoredJobManager;
using std::chrono::milliseconds;
using stored::JobCommand;
using stored::JobReply;
using stored::JobRequest;

TEST_GROUP(StoredJobManager) {
  base::ManualClock clock;
  observability::Logger logger{observability::LogLevel::kError,
                               observability::Logger::StandardOutputHooks()};
  std::string leader = "self";
  std::vector<std::pair<base::HostId, protocol::Message>> sent;
  std::vector<std::pair<std::string, std::function<void(ProposalOutcome)>>> changes;
  std::vector<runs::TaskBatch> placed;
  StoredJobManager keeper{{base::HostId("self"), base::DataCentreId("x"), std::chrono::seconds(10)},
                          this->Hooks(),
                          this->logger};

  StoredJobManager::Hooks Hooks() {
    StoredJobManager::Hooks hooks;
    hooks.now = this->clock.AsClock();
    hooks.leader = [this] { return base::HostId(this->leader); };
    hooks.send = [this](const base::HostId& host, protocol::Message message) {
      this->sent.emplace_back(host, std::move(message));
      return true;
    };
    hooks.propose_job_change = [this](std::string change,
                                      std::function<void(ProposalOutcome)> on_put) {
      this->changes.emplace_back(std::move(change), std::move(on_put));
    };
    hooks.place_batch_locally = [this](const runs::TaskBatch& part) {
      this->placed.push_back(part);
    };
    hooks.cancel_job_locally = [](const base::SubmissionId& /*job*/) {};
    hooks.acknowledge_events_locally = [](const runs::RunEventAcknowledgements& /*answers*/) {};
    return hooks;
  }

  /// Lets time pass on the host that leads.
  void Lead(int count) {
    for (int passed = 0; passed < count; passed += 100) {
      this->clock.Advance(milliseconds(100));
      this->keeper.OnLeaseHeld(base::Term(1));
      this->keeper.Tick();
    }
  }

  void Ask(JobRequest::Kind kind, size_t payload = 10) {
    gateway::Job job;
    job.id = base::SubmissionId("job");
    job.service = base::ServiceId("s");
    job.payload = std::string(payload, 'x');
    gateway::JobStep step;
    step.task_count = base::TaskCount(1);
    job.steps = {step};
    JobRequest request;
    request.request_number = base::JobRequestNumber(1);
    request.kind = kind;
    request.job_id = job.id;
    if (kind == JobRequest::Kind::kSubmit) {
      request.command = JobCommand{JobCommand::Submit{job}}.Encode();
    }
    this->keeper.OnMessage(base::HostId("gateway"), request);
  }

  /// Has the group agree on what was proposed last.
  void Commit() {
    const auto change = std::move(this->changes.back());
    this->changes.pop_back();
    this->keeper.job_state_machine().Apply(change.first);
    change.second(ProposalOutcome::kCommitted);
  }

  JobReply LastReply() { return std::get<JobReply>(this->sent.back().second); }
};

// Guards against a job that is accepted before the group has agreed on it.
TEST(StoredJobManager, AcceptsAJobOnceItIsAgreedOn) {
  this->Lead(100);
  this->Ask(JobRequest::Kind::kSubmit);
  LONGS_EQUAL(0, this->sent.size());
  this->Commit();
  CHECK(this->LastReply().outcome == JobReply::Outcome::kDone);
  // The same id again is the same job.
  this->Ask(JobRequest::Kind::kSubmit);
  LONGS_EQUAL(0, this->changes.size());
  CHECK(this->LastReply().outcome == JobReply::Outcome::kDone);
}

// Guards against a refusal of a job that may be agreed on later.
TEST(StoredJobManager, IsUncertainOfAJobThatIsNotAgreedOnInTime) {
  this->Lead(100);
  this->Ask(JobRequest::Kind::kSubmit);
  this->changes.back().second(ProposalOutcome::kUnknown);
  CHECK(this->LastReply().outcome == JobReply::Outcome::kUncertain);
}

// Guards against answers from a host whose records may be old.
TEST(StoredJobManager, NamesTheLeaderIfItDoesNotLead) {
  this->leader = "other";
  this->Ask(JobRequest::Kind::kQueryState);
  CHECK(this->LastReply().outcome == JobReply::Outcome::kNotLeader);
  CHECK(this->LastReply().leader == base::HostId("other"));
}

// Guards against payloads that fill the memory of all allocators.
TEST(StoredJobManager, RefusesJobsBeyondItsMemory) {
  this->Lead(100);
  this->Ask(JobRequest::Kind::kSubmit, 24U << 20U);
  this->Commit();
  JobRequest request;
  request.kind = JobRequest::Kind::kSubmit;
  request.job_id = base::SubmissionId("next");
  gateway::Job job;
  job.id = request.job_id;
  request.command = JobCommand{JobCommand::Submit{job}}.Encode();
  this->keeper.OnMessage(base::HostId("gateway"), request);
  LONGS_EQUAL(0, this->changes.size());
  CHECK(this->LastReply().outcome == JobReply::Outcome::kRefused);
}

// Guards against an end that an allocator acknowledges to its target before it is agreed on.
TEST(StoredJobManager, AnswersNoticesOfEndsOnceTheyAreAgreedOn) {
  this->Lead(3000);
  runs::CapacityReport room;
  room.service_capacities.push_back(
      {base::ServiceId("s"), base::TaskCount(5), base::TaskCount(5), base::TaskCount(0)});
  this->keeper.OnCapacityReport(base::HostId("self"), room);
  this->Ask(JobRequest::Kind::kSubmit);
  this->Commit();
  LONGS_EQUAL(1, this->placed.size());
  runs::RunEvent notice;
  notice.key = {this->placed[0].tasks[0].key, this->placed[0].first_run_number};
  notice.kind = runs::RunEvent::Kind::kSucceeded;
  this->sent.clear();
  this->keeper.OnMessage(base::HostId("allocator"), runs::RunEvents{{notice}});
  LONGS_EQUAL(0, this->sent.size());
  this->Commit();
  LONGS_EQUAL(1, this->sent.size());
  CHECK(this->sent[0].first == base::HostId("allocator"));
  LONGS_EQUAL(1,
              std::get<runs::RunEventAcknowledgements>(this->sent[0].second).acknowledged.size());
  this->Ask(JobRequest::Kind::kQueryState);
  CHECK(this->LastReply().state == stored::JobState::kCompleted);
}
