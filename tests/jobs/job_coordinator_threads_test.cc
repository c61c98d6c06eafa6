#include <CppUTest/TestHarness.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/manual_clock.h"
#include "jobs/job_coordinator.h"
#include "jobs/replica_host_selection.h"
#include "jobs/submission.h"

using sapphirecrank::base::Duration;
using sapphirecrank::base::Epoch;
using sapphirecrank::base::ExecutionVerdict;
using sapphirecrank::base::HostId;
using sapphirecrank::base::Incarnation;
using sapphirecrank::base::ManualClock;
using sapphirecrank::base::SubmissionId;
using sapphirecrank::base::TeamId;
using sapphirecrank::jobs::JobCoordinator;
using sapphirecrank::jobs::JobCoordinatorSettings;
using sapphirecrank::jobs::JobRecord;
using sapphirecrank::jobs::JobResult;
using sapphirecrank::jobs::RecordAck;
using sapphirecrank::jobs::SelectReplicaHosts;
using sapphirecrank::jobs::Submission;
using sapphirecrank::jobs::TaskReport;
using sapphirecrank::jobs::TaskStart;

TEST_GROUP(SubmissionLedgerThreads) {
  ManualClock clock;
  std::unique_ptr<JobCoordinator> ledgers[2];
  std::atomic<int> answers{0};
  std::atomic<int> starts{0};

  static size_t IndexOf(const HostId& host) { return host.value() == "a" ? 0 : 1; }

  // Each hook calls straight into the other ledger, on the same thread.
  std::unique_ptr<JobCoordinator> Create(size_t index) {
    HostId name(index == 0 ? "a" : "b");
    JobCoordinator::Hooks hooks;
    hooks.now = this->clock.AsClock();
    hooks.check_view_lease = [] { return sapphirecrank::base::Result<void>(); };
    hooks.select_replica_hosts = SelectReplicaHosts;
    hooks.submission_age = [](const SubmissionId&) { return Duration(0); };
    hooks.send_record = [this, name](const HostId& to, const JobRecord& record) {
      this->ledgers[IndexOf(to)]->OnJobRecord(name, record);
    };
    hooks.send_record_ack = [this, name](const HostId& to, const RecordAck& ack) {
      this->ledgers[IndexOf(to)]->OnRecordAck(name, ack);
    };
    hooks.start_tasks = [this, index](const std::vector<TaskStart>& tasks) {
      for (const TaskStart& task : tasks) {
        ++this->starts;
        TaskReport report;
        report.epoch = task.epoch;
        report.key = task.key;
        report.placement = task.placement;
        report.verdict = ExecutionVerdict::kRan;
        report.succeeded = true;
        this->ledgers[index]->OnTaskReport(report);
      }
    };
    hooks.cancel_tasks = [](const std::vector<TaskStart>&) {};
    return std::make_unique<JobCoordinator>(
        sapphirecrank::jobs::MembershipView::Member{name, Incarnation(1)}, JobCoordinatorSettings(),
        hooks);
  }

  void Submit(int number) {
    auto submission = std::make_shared<Submission>();
    submission->id = SubmissionId(std::to_string(number));
    submission->team = TeamId("team");
    submission->time_left = std::chrono::seconds(1);
    submission->tasks.resize(3);
    size_t owner = IndexOf(this->ledgers[0]->OwnerOf(submission->id));
    this->ledgers[owner]->Submit(submission, [this](const JobResult&) { ++this->answers; });
  }
};

// Guards against races between submissions, resubmissions, cancellations, views and ticks, and
// against a hook that runs under a lock.
TEST(SubmissionLedgerThreads, AnswersEachCallerOnce) {
  constexpr int kThreads = 4;
  constexpr int kJobs = 200;
  this->ledgers[0] = this->Create(0);
  this->ledgers[1] = this->Create(1);
  for (auto& ledger : this->ledgers) {
    ledger->SetView(
        {Epoch(1), {{HostId("a"), Incarnation(1)}, {HostId("b"), Incarnation(1)}}, true});
  }
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([this, thread] {
      for (int job = 0; job < kJobs; ++job) {
        this->Submit(job);
        if (thread == 0 && job % 20 == 0) {
          this->ledgers[0]->CancelJobsOfTeam(TeamId("team"));
          this->ledgers[job % 40 == 0 ? 0 : 1]->Tick();
        }
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  LONGS_EQUAL(kThreads * kJobs, this->answers.load());
  CHECK(this->starts.load() <= 3 * kJobs);
}
