#include <fmt/core.h>
#include <malloc.h>

#include <algorithm>
#include <cstdint>
#include <ctime>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/manual_clock.h"
#include "jobs/job_coordinator.h"
#include "jobs/replica_host_selection.h"
#include "jobs/submission.h"

// Processor time, memory and messages of the ledger for each job and task, at an owner and its
// backup together, which call each other without a network.

namespace sapphirecrank::jobs {

namespace {

using std::chrono::milliseconds;

constexpr size_t kPayloadBytes = 64;
constexpr size_t kResultBytes = 64;
constexpr size_t kMeasuredTasks = 400'000;
constexpr size_t kMinimumMeasuredJobs = 4'000;
// Must not end within the clock tolerance of the ledger at the simulated rate of 1,000 jobs/s.
constexpr size_t kMaximumEndedJobs = 5'000;
constexpr size_t kJobsPerTick = 10;

double ProcessorNanoseconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e9 + static_cast<double>(time.tv_nsec);
}

double AllocatedBytes() {
  struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

class JobCoordinatorPair {
 public:
  explicit JobCoordinatorPair(size_t tasks);

  /// Submits one job, which is accepted and started before this returns.
  void SubmitJob();
  /// Reports success for all tasks of the oldest job, which ends before this returns.
  void FinishOldestJob();
  void TickCoordinators();

  uint64_t message_count = 0;
  uint64_t response_count = 0;

 private:
  std::unique_ptr<JobCoordinator> CreateCoordinator(const std::string& name);
  JobCoordinator& CoordinatorOf(const base::HostId& host) {
    return host.value() == "a" ? *this->first_coordinator : *this->second_coordinator;
  }

  size_t tasks_per_job;
  uint64_t next_submission_number = 0;
  base::ManualClock clock;
  std::unique_ptr<JobCoordinator> first_coordinator;
  std::unique_ptr<JobCoordinator> second_coordinator;
  std::deque<std::pair<JobCoordinator*, std::vector<TaskReport>>> running_jobs;
};

JobCoordinatorPair::JobCoordinatorPair(size_t tasks) : tasks_per_job(tasks) {
  this->first_coordinator = this->CreateCoordinator("a");
  this->second_coordinator = this->CreateCoordinator("b");
  MembershipView view;
  view.epoch = base::Epoch(1);
  view.is_initial = true;
  view.members = {{base::HostId("a"), base::Incarnation(1)},
                  {base::HostId("b"), base::Incarnation(1)}};
  this->first_coordinator->SetView(view);
  this->second_coordinator->SetView(view);
}

std::shared_ptr<Submission> MakeSubmission(uint64_t number, size_t tasks) {
  auto submission = std::make_shared<Submission>();
  submission->id = base::SubmissionId("dc1:1700000000000-" + std::to_string(number));
  submission->team = base::TeamId("team-" + std::to_string(number % 100));
  submission->time_left = std::chrono::hours(10);
  submission->tasks.resize(tasks);
  for (Submission::Task& task : submission->tasks) {
    task.kind = base::TaskKind("lookup");
    task.payload.assign(kPayloadBytes, 'p');
  }
  return submission;
}

TaskReport MakeReport(const TaskStart& start) {
  TaskReport report;
  report.epoch = start.epoch;
  report.key = start.key;
  report.placement = start.placement;
  report.verdict = base::ExecutionVerdict::kRan;
  report.succeeded = true;
  report.body.assign(kResultBytes, 'r');
  return report;
}

void JobCoordinatorPair::SubmitJob() {
  auto submission = MakeSubmission(this->next_submission_number++, this->tasks_per_job);
  this->running_jobs.emplace_back();
  JobCoordinator& owner = this->CoordinatorOf(this->first_coordinator->OwnerOf(submission->id));
  this->running_jobs.back().first = &owner;
  owner.Submit(std::move(submission), [this](const JobResult&) { ++this->response_count; });
}

void JobCoordinatorPair::FinishOldestJob() {
  auto [owner, reports] = std::move(this->running_jobs.front());
  this->running_jobs.pop_front();
  for (const TaskReport& report : reports) {
    owner->OnTaskReport(report);
  }
}

void JobCoordinatorPair::TickCoordinators() {
  this->clock.Advance(milliseconds(kJobsPerTick));
  this->first_coordinator->Tick();
  this->second_coordinator->Tick();
}

std::unique_ptr<JobCoordinator> JobCoordinatorPair::CreateCoordinator(const std::string& name) {
  base::HostId host(name);
  JobCoordinator::Hooks hooks;
  hooks.now = this->clock.AsClock();
  hooks.check_view_lease = [] { return base::Result<void>(); };
  hooks.select_replica_hosts = SelectReplicaHosts;
  hooks.submission_age = [](const base::SubmissionId&) { return base::Duration(0); };
  hooks.send_record = [this, host](const base::HostId& to, const JobRecord& record) {
    ++this->message_count;
    this->CoordinatorOf(to).OnJobRecord(host, record);
  };
  hooks.send_record_ack = [this, host](const base::HostId& to, const RecordAck& ack) {
    ++this->message_count;
    this->CoordinatorOf(to).OnRecordAck(host, ack);
  };
  hooks.start_tasks = [this](const std::vector<TaskStart>& starts) {
    for (const TaskStart& start : starts) {
      this->running_jobs.back().second.push_back(MakeReport(start));
    }
  };
  hooks.cancel_tasks = [](const std::vector<TaskStart>&) {};
  JobCoordinatorSettings settings;
  settings.maximum_ended_jobs = kMaximumEndedJobs;
  return std::make_unique<JobCoordinator>(MembershipView::Member{host, base::Incarnation(1)},
                                          settings, hooks);
}

std::vector<TaskReport> MakeReports(size_t tasks) {
  TaskStart start;
  start.key.submission = base::SubmissionId("dc1:1700000000000-12345");
  std::vector<TaskReport> reports;
  for (size_t task = 0; task < tasks; ++task) {
    reports.push_back(MakeReport(start));
  }
  return reports;
}

/// Memory that the bench itself holds for a running job: the prepared reports.
double MeasureBenchBytesPerJob(size_t tasks) {
  double before = AllocatedBytes();
  std::vector<TaskReport> reports = MakeReports(tasks);
  return AllocatedBytes() - before;
}

/// Processor time that the bench itself needs for a job: the submission and the reports.
double MeasureBenchNanosecondsPerJob(size_t tasks, size_t jobs) {
  double started = ProcessorNanoseconds();
  size_t made = 0;
  for (size_t job = 0; job < jobs; ++job) {
    made += MakeSubmission(job, tasks)->tasks.size() + MakeReports(tasks).size();
  }
  // The check keeps the work from being optimised away.
  return made == 0 ? 0 : (ProcessorNanoseconds() - started) / static_cast<double>(jobs);
}

void Measure(size_t tasks, size_t in_flight) {
  double before = AllocatedBytes();
  JobCoordinatorPair pair(tasks);
  for (size_t job = 0; job < in_flight; ++job) {
    pair.SubmitJob();
  }
  double job_bytes =
      (AllocatedBytes() - before) / static_cast<double>(in_flight) - MeasureBenchBytesPerJob(tasks);
  size_t jobs = std::max(kMinimumMeasuredJobs, kMeasuredTasks / tasks);
  uint64_t messages = pair.message_count;
  double started = ProcessorNanoseconds();
  for (size_t job = 0; job < jobs; ++job) {
    pair.SubmitJob();
    pair.FinishOldestJob();
    if (job % kJobsPerTick == 0) {
      pair.TickCoordinators();
    }
  }
  double job_time = (ProcessorNanoseconds() - started) / static_cast<double>(jobs) -
                    MeasureBenchNanosecondsPerJob(tasks, jobs);
  double job_messages =
      static_cast<double>(pair.message_count - messages) / static_cast<double>(jobs);
  fmt::print("{:>9} {:>9} {:>12.2f} {:>12.3f} {:>12.0f} {:>12.0f} {:>9.2f} {:>9}\n", tasks,
             in_flight, job_time / 1e3, job_time / 1e3 / static_cast<double>(tasks), job_bytes,
             job_bytes / static_cast<double>(tasks), job_messages,
             pair.response_count == jobs ? "all" : "NOT ALL");
}

}  // namespace

}  // namespace sapphirecrank::jobs

int main() {
  fmt::print("owner and backup together; without the time and memory of the bench itself\n");
  fmt::print("{:>9} {:>9} {:>12} {:>12} {:>12} {:>12} {:>9} {:>9}\n", "tasks/job", "in flight",
             "us/job", "us/task", "bytes/job", "bytes/task", "msgs/job", "answered");
  for (size_t tasks : {1, 20, 200}) {
    for (size_t in_flight : {100, 1'000, 10'000}) {
      sapphirecrank::jobs::Measure(tasks, in_flight);
    }
  }
  return 0;
}
