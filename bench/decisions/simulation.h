#pragma once

#include <array>
#include <cstdint>
#include <queue>
#include <unordered_map>
#include <vector>

#include "base/manual_clock.h"
#include "bench/decisions/measured_task.h"
#include "bench/decisions/scenario.h"
#include "bench/decisions/scheduler_under_test.h"
#include "bench/decisions/workload.h"

namespace sapphirecrank::bench {

/// Runs a workload against one rule set in virtual time.
///
/// A target starts each task at once and ends it after its run time; messages take half a round
/// trip each way. When a task of a job is refused or fails, the rest of the job is cancelled,
/// because a job succeeds or fails as a whole. Thread safety: none.
class Simulation {
 public:
  static constexpr base::Duration kRoundTrip = std::chrono::milliseconds(1);

  /// Prepares a run that begins at `start`. Precondition: `scenario` and `workload` outlive this
  /// object.
  Simulation(const Scenario& scenario, const Workload& workload, base::TimePoint start,
             const RuleSet& rule_set);

  /// Runs until all tasks have ended. Tasks that are still queued 60 s after the end of the
  /// scenario stay unfinished.
  void Run();

  /// Returns the result of each task, in the order of the workload.
  const std::vector<MeasuredTask>& tasks() const { return this->measured_tasks; }

  /// Tells whether a task of the job was refused or failed.
  bool IsJobAbandoned(size_t job_index) const { return this->abandoned_jobs[job_index]; }

  /// Returns how many starts exceeded the slots or resources of their target.
  int overcommitted_start_count() const { return this->overcommitted_starts; }

  /// Returns the number of starts on failing targets after `kDetectionFailureCount` tasks failed.
  int64_t failing_target_starts_after_detection() const { return this->failing_target_starts; }

  /// Returns the number of starts on all targets after `kDetectionFailureCount` tasks failed.
  int64_t starts_after_detection() const { return this->total_starts; }

 private:
  /// Failed tasks after which the scheduler should have detected the failing targets.
  static constexpr int kDetectionFailureCount = 20;

  struct Completion {
    base::TimePoint time;
    size_t task_index = 0;
    bool succeeded = true;

    friend bool operator>(const Completion& a, const Completion& b) {
      return a.time == b.time ? a.task_index > b.task_index : a.time > b.time;
    }
  };

  struct Target {
    scheduling::TargetState state;
    int used_slots = 0;
    base::Resources used_resources;
    bool is_failing = false;
    int run_time_factor = 1;
  };

  /// Usage by the running tasks of one class, to detect excess shares.
  struct ClassUsage {
    int slots = 0;
    int long_tasks = 0;
  };

  void AddTargets();
  void AnnounceTargets();
  bool HasPendingTasks() const;
  void AdvanceClockTo(base::TimePoint time);
  void SubmitJob(const Workload::Job& job);
  void OnStart(const scheduling::StartDecision& decision);
  void OnRefused(size_t task_index, MeasuredTask::Outcome outcome);
  void CompleteTask(const Completion& completion);
  void AbandonJob(size_t job_index);
  /// Tells whether a lower class runs long tasks and holds more slots than its share.
  bool LowerClassExceedsShare(base::PriorityClass priority_class) const;
  size_t FindTaskIndex(const base::TaskKey& key) const;

  const Scenario& scenario;
  const Workload& workload;
  base::TimePoint start_time;
  base::ManualClock clock;
  SchedulerUnderTest scheduler;
  std::vector<MeasuredTask> measured_tasks;
  std::vector<bool> abandoned_jobs;
  std::vector<Target> targets;
  std::unordered_map<base::TargetId, size_t> target_indices;
  std::unordered_map<base::SubmissionId, size_t> job_indices;
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>> completions;
  std::array<ClassUsage, base::kPriorityClassCount> class_usage{};
  int failure_count = 0;
  int overcommitted_starts = 0;
  int64_t failing_target_starts = 0;
  int64_t total_starts = 0;
};

}  // namespace sapphirecrank::bench
