#pragma once

#include <deque>
#include <random>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "scheduling/scheduler.h"

namespace sapphirecrank::bench {

/// Baseline scheduler: one FIFO queue; a task starts on a random or on the least-loaded target with
/// enough free capacity.
///
/// Thread safety: none.
class FifoScheduler {
 public:
  /// Chooses a random target with enough free capacity if `chooses_random_target` is set, and the
  /// one with the fewest used slots otherwise.
  FifoScheduler(scheduling::Scheduler::Hooks hooks, bool chooses_random_target);

  /// Queues all tasks, or none and returns `kUnsatisfiable` if one of them fits on no known target.
  /// While no target is known, every task is queued.
  base::Result<void> EnqueueAll(const std::vector<scheduling::TaskSpec>& tasks);
  void UpdateTarget(const scheduling::TargetState& target);
  void OnTaskEnded(const base::TaskKey& task, const base::TargetId& target,
                   const scheduling::TaskOutcome& outcome);
  /// Drops the queued tasks of a submission when they reach the head of the queue. Always returns
  /// an empty list.
  std::vector<base::TaskKey> CancelSubmission(const base::SubmissionId& submission);
  /// Refuses expired tasks at the head of the queue and starts what fits.
  void Tick();

 private:
  struct Target {
    scheduling::TargetState state;
    base::SlotCount used_slots;
    base::Resources used_resources;
  };

  bool CanEverFit(const scheduling::TaskSpec& task) const;
  bool CanFit(const Target& target, const scheduling::TaskSpec& task) const;
  Target* ChooseTarget(const scheduling::TaskSpec& task);
  void StartQueued();

  scheduling::Scheduler::Hooks hooks;
  bool chooses_random_target;
  std::minstd_rand random_engine;
  std::deque<scheduling::TaskSpec> queue;
  std::vector<Target> targets;
  std::unordered_map<base::TargetId, size_t> target_indices;
  std::unordered_map<base::TaskKey, base::Resources> running_resources;
  std::unordered_set<base::SubmissionId> cancelled_submissions;
};

}  // namespace sapphirecrank::bench
