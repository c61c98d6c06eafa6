#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/priority_class.h"
#include "base/time.h"
#include "scheduling/placement_policy.h"

namespace sapphirecrank::scheduling {

/// Limits and policies of the scheduler. docs/measurements.md has the measurements behind the
/// defaults. Arrays are indexed by priority class. A share is a fraction of the usable slots,
/// processors, memory or accelerators, whichever is scarcest.
struct SchedulerSettings {
  /// A task with a longer expected run time is long work.
  base::Duration short_work_run_time_limit = std::chrono::milliseconds(1500);
  /// Share that running long work of all classes together may use.
  double long_work_share_limit = 0.4;
  /// Share that the running tasks of one class may use.
  std::array<double, base::kPriorityClassCount> class_share_limit = {1.0, 1.0, 0.7};
  /// Share that a class leaves free for the higher classes.
  std::array<double, base::kPriorityClassCount> headroom_share = {0, 0, 0.1};
  /// Additional share that long work leaves free.
  double long_work_headroom_share = 0.03;
  /// While a size class among the short tasks of a class is starving, its tasks start before all
  /// other work until the short tasks of the class use this share. The same holds for the long
  /// tasks. A size class is starving if it has queued tasks and has started none for
  /// `starvation_threshold`.
  std::array<double, base::kPriorityClassCount> guaranteed_share = {0.05, 0.05, 0.02};
  base::Duration starvation_threshold = std::chrono::milliseconds(500);

  /// Maximum expected wait of work that is admitted to a standing queue, that is one in which tasks
  /// have been queued without a break for `standing_queue_threshold`. For long work, half its
  /// expected run time is added to this limit and to `burst_wait_limit`.
  std::array<base::Duration, base::kPriorityClassCount> standing_queue_wait_limit = {
      std::chrono::milliseconds(200), std::chrono::milliseconds(100), std::chrono::seconds(2)};
  /// Maximum expected wait of work that is admitted to any other queue.
  std::array<base::Duration, base::kPriorityClassCount> burst_wait_limit = {
      std::chrono::milliseconds(500), std::chrono::milliseconds(500), std::chrono::seconds(10)};
  base::Duration standing_queue_threshold = std::chrono::milliseconds(300);
  /// Maximum number of queued tasks of one class, and of one team in one class.
  size_t class_queue_limit = 100000;
  size_t team_queue_limit = 20000;

  /// Number of targets that are drawn at random for a placement; the best of them is chosen.
  int placement_candidate_count = 4;
  PlacementPolicy placement_policy = PlacementPolicy::kLowestSlowdown;
  /// A target is reserved for a task that has found no target for this time.
  std::array<base::Duration, base::kPriorityClassCount> reserve_target_after = {
      std::chrono::milliseconds(0), std::chrono::milliseconds(20), std::chrono::milliseconds(100)};
  /// A target is reserved for a task of this class only if the reserved targets, including this
  /// one, are at most this share of all targets; one target may always be reserved. Zero disables
  /// reservations for the class.
  std::array<double, base::kPriorityClassCount> reserved_target_share = {0.04, 0.04, 0.04};

  /// Switches that bench/decisions uses for comparisons.
  bool is_team_fairness_enabled = true;
  bool are_run_time_levels_enabled = true;
  bool is_long_work_separated = true;
  bool is_admission_control_enabled = true;

  /// Maximum number of pairs of team and task kind whose run times are learned, at least 2.
  size_t estimator_capacity = 65536;
  uint64_t random_seed = 1;
};

}  // namespace sapphirecrank::scheduling
