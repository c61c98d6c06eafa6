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

TEST_GROUP(JobCoordinatorThreads) {
  ManualClock clock;
  std::unique_ptr<JobCoordinator> coordinators[2];
  std::atomic<int> result_count{0};
  std::atomic<int> start_count{0};

  static size_t HostIndexOf(const HostId& host) { return host.value() == "a" ? 0 : 1; }

  // Each sending hook calls the other coordinator directly, on the same thread.
  std::unique_ptr<JobCoordinator> CreateCoordinator(size_t index) {
    HostId host_id(index == 0 ? "a" : "b");
    JobCoordinator::Hooks hooks;
    hooks.now = this->clock.AsClock();
    hooks.check_view_lease = [] { return sapphirecrank::base::Result<void>(); };
    hooks.select_replica_hosts = SelectReplicaHosts;
    hooks.submission_age = [](const SubmissionId&) { return Duration(0); };
    hooks.send_record = [this, host_id](const HostId& to, const JobRecord& record) {
      this->coordinators[HostIndexOf(to)]->OnJobRecord(host_id, record);
    };
    hooks.send_record_ack = [this, host_id](const HostId& to, const RecordAck& ack) {
      this->coordinators[HostIndexOf(to)]->OnRecordAck(host_id, ack);
    };
    hooks.start_tasks = [this, index](const std::vector<TaskStart>& tasks) {
      for (const TaskStart& task : tasks) {
        ++this->start_count;
        TaskReport report;
        report.epoch = task.epoch;
        report.key = task.key;
        report.placement = task.placement;
        report.verdict = ExecutionVerdict::kRan;
        report.succeeded = true;
        this->coordinators[index]->OnTaskReport(report);
      }
    };
    hooks.cancel_tasks = [](const std::vector<TaskStart>&) {};
    return std::make_unique<JobCoordinator>(
        sapphirecrank::jobs::MembershipView::Member{host_id, Incarnation(1)},
        JobCoordinatorSettings(), hooks);
  }

  void Submit(int number) {
    auto submission = std::make_shared<Submission>();
    submission->id = SubmissionId(std::to_string(number));
    submission->team = TeamId("team");
    submission->time_left = std::chrono::seconds(1);
    submission->tasks.resize(3);
    size_t owner = HostIndexOf(this->coordinators[0]->OwnerOf(submission->id));
    this->coordinators[owner]->Submit(submission,
                                      [this](const JobResult&) { ++this->result_count; });
  }
};

// Guards against data races between submissions, resubmissions, cancellations and ticks, and
// against a hook that is called under a lock.
TEST(JobCoordinatorThreads, GivesEachCallerOneResult) {
  constexpr int kThreadCount = 4;
  constexpr int kJobCount = 200;
  this->coordinators[0] = this->CreateCoordinator(0);
  this->coordinators[1] = this->CreateCoordinator(1);
  for (auto& coordinator : this->coordinators) {
    coordinator->SetView(
        {Epoch(1), {{HostId("a"), Incarnation(1)}, {HostId("b"), Incarnation(1)}}, true});
  }
  std::vector<std::thread> threads;
  threads.reserve(kThreadCount);
  for (int thread = 0; thread < kThreadCount; ++thread) {
    threads.emplace_back([this, thread] {
      for (int job = 0; job < kJobCount; ++job) {
        this->Submit(job);
        if (thread == 0 && job % 20 == 0) {
          this->coordinators[0]->CancelJobsOfTeam(TeamId("team"));
          this->coordinators[job % 40 == 0 ? 0 : 1]->Tick();
        }
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  LONGS_EQUAL(kThreadCount * kJobCount, this->result_count.load());
  CHECK(this->start_count.load() <= 3 * kJobCount);
}
