#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/manual_clock.h"
#include "gateway/allocator_selector.h"
#include "runs/service_scheduler.h"
#include "stored/job_scheduler.h"
#include "tests/support/simulated_target.h"

namespace sapphirecrank::testing {

/// The manager of stored jobs, three allocators and their targets, without a network and without
/// lost requests. Only some targets have the label "scarce".
///
/// Thread safety: none.
class ScarceTargetsSimulation {
 public:
  /// A job of one step.
  struct JobSpec {
    /// Required of the targets; empty allows any target.
    std::string label;
    base::Resources size;
    int task_count = 1;
    base::Duration run_time{0};
  };

  ScarceTargetsSimulation();

  /// Adds a target to one of the allocators 0 to 2. Precondition: the id is new.
  void AddTarget(int allocator, const std::string& id, const std::string& label,
                 const base::Resources& size);

  /// Submits a job and returns its id.
  base::SubmissionId Submit(const JobSpec& spec);

  /// Advances the time by 20 ms.
  void Step();

  /// Advances the time until the manager may place tasks.
  void WaitUntilLeading();

  /// Returns the number of tasks of a job that have been started at least once.
  size_t CountStartedTasks(const base::SubmissionId& job) const;

  /// Returns the longest time for which a job has had nothing running although one of its tasks
  /// waits, there is room for two of them, and less than half of the capacity is in use.
  base::Duration LongestIdleWait() const;

  /// Returns the number of waiting tasks at the allocator that has most of them.
  int64_t MostWaitingTasks() const;

 private:
  struct Target {
    SimulatedTarget simulated;
    std::string label;
    base::Resources size;
  };
  struct Allocator {
    runs::ServiceScheduler scheduler;
    runs::SchedulerActions pending_actions;
    std::set<std::string> target_ids;
  };
  struct ActiveRun {
    std::string target;
    runs::RunKey key;
    base::TimePoint ends_at;
  };

  stored::JobScheduler::Hooks Hooks();
  void ReportTargets(Allocator& allocator);
  void ExecuteActions(const base::HostId& host, Allocator& allocator);
  void StartRun(Allocator& allocator, const runs::StartRequest& request);
  void DeliverRunEvent(Allocator& allocator, const runs::RunEvent& event);
  void FinishRuns();
  void UpdateIdleWaits();
  bool HasRoomForTwo(const JobSpec& spec) const;
  static base::MilliCores UsedProcessors(const Target& target);

  base::ManualClock clock;
  gateway::AllocatorSelector selector;
  std::map<base::HostId, Allocator> allocators;
  std::map<std::string, Target> targets;
  std::map<base::SubmissionId, JobSpec> jobs;
  std::map<base::SubmissionId, std::set<base::TaskIndex>> started_tasks;
  std::vector<ActiveRun> active_runs;
  /// Jobs with tasks that have not been started.
  std::map<base::SubmissionId, base::TimePoint> idle_since;
  base::Duration longest_idle_wait{0};
  stored::JobStateMachine stored_jobs;
  stored::JobScheduler leader;
};

}  // namespace sapphirecrank::testing
