#pragma once

#include <deque>
#include <random>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "scheduling/scheduler.h"

namespace sapphirecrank::bench {

/// Baseline: one FIFO queue and a random or the least-loaded target with room.
///
/// Thread safety: none.
class FifoScheduler {
 public:
  FifoScheduler(scheduling::Scheduler::Hooks hooks, bool random_target);

  base::Result<void> EnqueueAll(const std::vector<scheduling::TaskSpec>& tasks);
  void UpdateTarget(const scheduling::TargetState& target);
  void OnTaskEnded(const base::TaskKey& task, const base::TargetId& target,
                   const scheduling::TaskOutcome& outcome);
  std::vector<base::TaskKey> CancelSubmission(const base::SubmissionId& submission);
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
