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
using stored::JobRequest;
using stored::JobResponse;

TEST_GROUP(StoredJobManager) {
  base::ManualClock clock;
  observability::Logger logger{observability::LogLevel::kError,
                               observability::Logger::StandardOutputHooks()};
  std::string leader = "self";
  std::vector<std::pair<base::HostId, protocol::Message>> sent_messages;
  std::vector<std::pair<std::string, std::function<void(ProposalOutcome)>>> proposed_changes;
  std::vector<runs::TaskBatch> placed_batches;
  StoredJobManager manager{
      {base::HostId("self"), base::DataCentreId("x"), std::chrono::seconds(10)},
      this->Hooks(),
      this->logger};

  StoredJobManager::Hooks Hooks() {
    StoredJobManager::Hooks hooks;
    hooks.now = this->clock.AsClock();
    hooks.leader = [this] { return base::HostId(this->leader); };
    hooks.send = [this](const base::HostId& host, protocol::Message message) {
      this->sent_messages.emplace_back(host, std::move(message));
      return true;
    };
    hooks.propose_job_change = [this](std::string change,
                                      std::function<void(ProposalOutcome)> callback) {
      this->proposed_changes.emplace_back(std::move(change), std::move(callback));
    };
    hooks.place_batch_locally = [this](const runs::TaskBatch& batch) {
      this->placed_batches.push_back(batch);
    };
    hooks.cancel_job_locally = [](const base::SubmissionId& /*job*/) {};
    hooks.acknowledge_events_locally =
        [](const runs::RunEventAcknowledgements& /*acknowledgements*/) {};
    return hooks;
  }

  /// Advances time by `duration_ms` while this host holds the leader lease.
  void AdvanceAsLeader(int duration_ms) {
    for (int elapsed_ms = 0; elapsed_ms < duration_ms; elapsed_ms += 100) {
      this->clock.Advance(milliseconds(100));
      this->manager.OnLeaseHeld(base::Term(1));
      this->manager.Tick();
    }
  }

  void SendRequest(JobRequest::Kind kind, size_t payload_size = 10) {
    gateway::Job job;
    job.id = base::SubmissionId("job");
    job.service = base::ServiceId("s");
    job.payload = std::string(payload_size, 'x');
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
    this->manager.OnMessage(base::HostId("gateway"), request);
  }

  /// Commits the latest proposed change.
  void CommitLastChange() {
    const auto change = std::move(this->proposed_changes.back());
    this->proposed_changes.pop_back();
    this->manager.job_state_machine().Apply(change.first);
    change.second(ProposalOutcome::kCommitted);
  }

  /// Leads, and places a stored job of one task with this host as its allocator. Returns the event
  /// of a successful run of the task.
  runs::RunEvent PlaceJobAndSucceed() {
    this->AdvanceAsLeader(3000);
    this->ReportCapacity();
    this->SendRequest(JobRequest::Kind::kSubmit);
    this->CommitLastChange();
    LONGS_EQUAL(1, this->placed_batches.size());
    runs::RunEvent event;
    event.key = {this->placed_batches[0].tasks[0].key, this->placed_batches[0].first_run_number};
    event.kind = runs::RunEvent::Kind::kSucceeded;
    this->sent_messages.clear();
    return event;
  }

  void ReportCapacity() {
    runs::CapacityReport capacity_report;
    runs::CapacityReport::ServiceCapacity capacity;
    capacity.service = base::ServiceId("s");
    capacity.free_task_capacity = base::TaskCount(5);
    capacity.total_task_capacity = base::TaskCount(5);
    capacity_report.service_capacities.push_back(capacity);
    this->manager.OnCapacityReport(base::HostId("self"), capacity_report);
  }

  runs::RunEventAcknowledgements LastAcknowledgements() {
    return std::get<runs::RunEventAcknowledgements>(this->sent_messages.back().second);
  }

  JobResponse LastResponse() { return std::get<JobResponse>(this->sent_messages.back().second); }
};

// Guards against a job that is accepted before it is committed.
TEST(StoredJobManager, AcceptsJobOnceItIsCommitted) {
  this->AdvanceAsLeader(100);
  this->SendRequest(JobRequest::Kind::kSubmit);
  LONGS_EQUAL(0, this->sent_messages.size());
  this->CommitLastChange();
  CHECK(this->LastResponse().outcome == JobResponse::Outcome::kDone);
  // A repeated id refers to the same job.
  this->SendRequest(JobRequest::Kind::kSubmit);
  LONGS_EQUAL(0, this->proposed_changes.size());
  CHECK(this->LastResponse().outcome == JobResponse::Outcome::kDone);
}

// Guards against the refusal of a job that may be committed later.
TEST(StoredJobManager, OutcomeIsUncertainIfCommitIsUnknown) {
  this->AdvanceAsLeader(100);
  this->SendRequest(JobRequest::Kind::kSubmit);
  this->proposed_changes.back().second(ProposalOutcome::kUnknown);
  CHECK(this->LastResponse().outcome == JobResponse::Outcome::kUncertain);
}

// Guards against responses from a host whose records may be out of date.
TEST(StoredJobManager, FollowerRespondsWithLeader) {
  this->leader = "other";
  this->SendRequest(JobRequest::Kind::kQueryState);
  CHECK(this->LastResponse().outcome == JobResponse::Outcome::kNotLeader);
  CHECK(this->LastResponse().leader == base::HostId("other"));
}

// Guards against job payloads that fill the memory of all allocators.
TEST(StoredJobManager, RefusesJobsAbovePayloadLimit) {
  this->AdvanceAsLeader(100);
  this->SendRequest(JobRequest::Kind::kSubmit, 24U << 20U);
  this->CommitLastChange();
  JobRequest request;
  request.kind = JobRequest::Kind::kSubmit;
  request.job_id = base::SubmissionId("next");
  gateway::Job job;
  job.id = request.job_id;
  request.command = JobCommand{JobCommand::Submit{job}}.Encode();
  this->manager.OnMessage(base::HostId("gateway"), request);
  LONGS_EQUAL(0, this->proposed_changes.size());
  CHECK(this->LastResponse().outcome == JobResponse::Outcome::kRefused);
}

// Guards against the end of a run that an allocator acknowledges to its target before the end is
// committed.
TEST(StoredJobManager, AcknowledgesRunEndsOnceTheyAreCommitted) {
  const runs::RunEvent event = this->PlaceJobAndSucceed();
  this->manager.OnMessage(base::HostId("allocator"), runs::RunEvents{{event}});
  LONGS_EQUAL(0, this->sent_messages.size());
  this->CommitLastChange();
  LONGS_EQUAL(1, this->sent_messages.size());
  CHECK(this->sent_messages[0].first == base::HostId("allocator"));
  LONGS_EQUAL(1, this->LastAcknowledgements().acknowledged.size());
  this->SendRequest(JobRequest::Kind::kQueryState);
  CHECK(this->LastResponse().state == stored::JobState::kCompleted);
}

// Guards against acknowledging the end of a run that was superseded while its outcome awaited the
// commit: the outcome isn't recorded, and the task is started again.
TEST(StoredJobManager, DoesNotAcknowledgeRunEndsThatWereSupersededBeforeTheirCommit) {
  const runs::RunEvent event = this->PlaceJobAndSucceed();
  this->manager.OnMessage(base::HostId("allocator"), runs::RunEvents{{event}});
  const auto outcome = this->proposed_changes.back();
  runs::RunKey lowest_valid_run = event.key;
  lowest_valid_run.run = lowest_valid_run.run.Next();
  this->manager.job_state_machine().Apply(
      JobCommand{JobCommand::SupersedeRuns{{lowest_valid_run}}}.Encode());
  this->manager.job_state_machine().Apply(outcome.first);
  outcome.second(ProposalOutcome::kCommitted);
  LONGS_EQUAL(0, this->LastAcknowledgements().acknowledged.size());
  LONGS_EQUAL(1, this->LastAcknowledgements().superseded.size());
}
