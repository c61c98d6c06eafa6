#pragma once

#include <array>
#include <cstdint>
#include <queue>
#include <unordered_map>
#include <vector>

#include "base/manual_clock.h"
#include "bench/decisions/dispatcher_under_test.h"
#include "bench/decisions/measured_task.h"
#include "bench/decisions/scenario.h"
#include "bench/decisions/workload.h"

namespace sapphirecrank::bench {

/// Runs a workload against one rule set in virtual time.
///
/// A target starts each task that it is given and ends it after its run time; messages take half a
/// round trip each way. When a task of a job is refused or fails, the rest of the job is cancelled,
/// as a job is answered as a whole. Thread safety: none.
class Simulation {
 public:
  static constexpr base::Duration kRoundTrip = std::chrono::milliseconds(1);

  Simulation(const Scenario& scenario, const Workload& workload, base::TimePoint start,
             const RuleSet& rules);

  /// Runs until all work has ended.
  void Run();

  /// Returns what happened to each task, in the order of the workload.
  const std::vector<MeasuredTask>& tasks() const { return this->measured; }

  /// Tells whether a task of the job was refused or failed.
  bool JobAbandoned(size_t job) const { return this->abandoned[job]; }

  /// Returns how many starts exceeded the slots or resources of their target.
  int overcommitted() const { return this->overcommits; }

  /// Returns the tasks that failing targets got after their first `kToleratedFailures`.
  int64_t late_failing_starts() const { return this->failing_late; }

  /// Returns the tasks that started anywhere after the first `kToleratedFailures`.
  int64_t starts_after_detection() const { return this->starts_after; }

 private:
  static constexpr int kToleratedFailures = 20;

  struct Completion {
    base::TimePoint at;
    size_t task = 0;
    bool succeeded = true;

    friend bool operator>(const Completion& a, const Completion& b) {
      return a.at == b.at ? a.task > b.task : a.at > b.at;
    }
  };

  struct Target {
    scheduling::TargetState state;
    int used_slots = 0;
    base::Resources used;
    bool failing = false;
    int slowness = 1;
  };

  /// What running tasks of one class hold, to judge excess shares.
  struct ClassUse {
    int slots = 0;
    int long_tasks = 0;
  };

  void AddTargets();
  void Announce();
  bool AnyPending() const;
  void AdvanceTo(base::TimePoint at);
  void Arrive(const Workload::Job& job);
  void OnStart(const scheduling::StartDecision& decision);
  void OnRefused(size_t task, MeasuredTask::Outcome end);
  void Complete(const Completion& completion);
  void AbandonJob(size_t job);
  bool LowerClassInExcess(base::PriorityClass work_class) const;
  size_t TaskNumber(const base::TaskKey& key) const;

  const Scenario& scenario;
  const Workload& workload;
  base::TimePoint start;
  base::ManualClock clock;
  DispatcherUnderTest dispatcher;
  std::vector<MeasuredTask> measured;
  std::vector<bool> abandoned;
  std::vector<Target> targets;
  std::unordered_map<base::TargetId, size_t> target_numbers;
  std::unordered_map<base::SubmissionId, size_t> job_numbers;
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>> completions;
  std::array<ClassUse, base::kPriorityClassCount> in_use{};
  int failures = 0;
  int overcommits = 0;
  int64_t failing_late = 0;
  int64_t starts_after = 0;
};

}  // namespace sapphirecrank::bench
