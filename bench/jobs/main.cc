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

// Measures the processor time, memory and messages of the job coordinator per job and task, as the
// sum of an owner and its backup, which call each other without a network.

namespace sapphirecrank::jobs {

namespace {

using std::chrono::milliseconds;

constexpr size_t kPayloadBytes = 64;
constexpr size_t kResultBytes = 64;
constexpr size_t kMeasuredTasks = 400'000;
constexpr size_t kMinimumMeasuredJobs = 4'000;
// At the simulated rate of 1,000 jobs/s, the ended jobs that a coordinator remembers must span more
// than its maximum clock skew, because new ids are refused as expired otherwise.
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
  explicit JobCoordinatorPair(size_t task_count);

  /// Submits a job, which is accepted and whose tasks are started before this returns.
  void SubmitJob();
  /// Reports success for all tasks of the oldest running job, which ends before this returns.
  void FinishOldestJob();
  /// Advances the clock by 1 ms for each job between ticks, and ticks both coordinators.
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

JobCoordinatorPair::JobCoordinatorPair(size_t task_count) : tasks_per_job(task_count) {
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

std::shared_ptr<Submission> MakeSubmission(uint64_t submission_number, size_t task_count) {
  auto submission = std::make_shared<Submission>();
  submission->id = base::SubmissionId("dc1:1700000000000-" + std::to_string(submission_number));
  submission->team = base::TeamId("team-" + std::to_string(submission_number % 100));
  submission->time_left = std::chrono::hours(10);
  submission->tasks.resize(task_count);
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

std::vector<TaskReport> MakeReports(size_t task_count) {
  TaskStart start;
  start.key.submission = base::SubmissionId("dc1:1700000000000-12345");
  std::vector<TaskReport> reports;
  for (size_t task = 0; task < task_count; ++task) {
    reports.push_back(MakeReport(start));
  }
  return reports;
}

/// Returns the memory that the bench itself holds for a running job: the prepared reports.
double MeasureBenchBytesPerJob(size_t task_count) {
  double bytes_before = AllocatedBytes();
  std::vector<TaskReport> reports = MakeReports(task_count);
  return AllocatedBytes() - bytes_before;
}

/// Returns the processor time that the bench itself needs for a job: to make the submission and the
/// reports.
double MeasureBenchNanosecondsPerJob(size_t task_count, size_t job_count) {
  double start_nanoseconds = ProcessorNanoseconds();
  size_t item_count = 0;
  for (size_t job = 0; job < job_count; ++job) {
    item_count += MakeSubmission(job, task_count)->tasks.size() + MakeReports(task_count).size();
  }
  // The check keeps the work from being optimised away.
  return item_count == 0
             ? 0
             : (ProcessorNanoseconds() - start_nanoseconds) / static_cast<double>(job_count);
}

void MeasureJobs(size_t task_count, size_t in_flight_job_count) {
  double bytes_before = AllocatedBytes();
  JobCoordinatorPair pair(task_count);
  for (size_t job = 0; job < in_flight_job_count; ++job) {
    pair.SubmitJob();
  }
  double bytes_per_job =
      (AllocatedBytes() - bytes_before) / static_cast<double>(in_flight_job_count) -
      MeasureBenchBytesPerJob(task_count);
  size_t job_count = std::max(kMinimumMeasuredJobs, kMeasuredTasks / task_count);
  uint64_t messages_before = pair.message_count;
  double start_nanoseconds = ProcessorNanoseconds();
  for (size_t job = 0; job < job_count; ++job) {
    pair.SubmitJob();
    pair.FinishOldestJob();
    if (job % kJobsPerTick == 0) {
      pair.TickCoordinators();
    }
  }
  double nanoseconds_per_job =
      (ProcessorNanoseconds() - start_nanoseconds) / static_cast<double>(job_count) -
      MeasureBenchNanosecondsPerJob(task_count, job_count);
  double messages_per_job =
      static_cast<double>(pair.message_count - messages_before) / static_cast<double>(job_count);
  fmt::print("{:>9} {:>9} {:>12.2f} {:>12.3f} {:>12.0f} {:>12.0f} {:>9.2f} {:>9}\n", task_count,
             in_flight_job_count, nanoseconds_per_job / 1e3,
             nanoseconds_per_job / 1e3 / static_cast<double>(task_count), bytes_per_job,
             bytes_per_job / static_cast<double>(task_count), messages_per_job,
             pair.response_count == job_count ? "all" : "NOT ALL");
}

}  // namespace

}  // namespace sapphirecrank::jobs

int main() {
  fmt::print("sums of owner and backup, without the time and memory of the bench itself\n");
  fmt::print("{:>9} {:>9} {:>12} {:>12} {:>12} {:>12} {:>9} {:>9}\n", "tasks/job", "in flight",
             "us/job", "us/task", "bytes/job", "bytes/task", "msgs/job", "answered");
  for (size_t task_count : {1, 20, 200}) {
    for (size_t in_flight_job_count : {100, 1'000, 10'000}) {
      sapphirecrank::jobs::MeasureJobs(task_count, in_flight_job_count);
    }
  }
  return 0;
}
