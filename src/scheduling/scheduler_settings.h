#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/priority_class.h"
#include "base/time.h"
#include "scheduling/placement_policy.h"

namespace sapphirecrank::scheduling {

/// Limits and rules of the scheduler. The defaults are those that measured best
/// (docs/measurements.md). Arrays are indexed by work class; shares are of the usable slots,
/// processors, memory or accelerators, whichever is scarcest.
struct SchedulerSettings {
  /// Work that is expected to take longer is long.
  base::Duration short_work_run_time_limit = std::chrono::milliseconds(1500);
  /// Share that long work of all classes may hold.
  double long_work_share_limit = 0.4;
  /// Share that one class may hold.
  std::array<double, base::kPriorityClassCount> class_share_limit = {1.0, 1.0, 0.7};
  /// Share that a class leaves free for the classes above it.
  std::array<double, base::kPriorityClassCount> headroom_share = {0, 0, 0.1};
  /// Share that long work leaves free in addition.
  double long_work_headroom_share = 0.03;
  /// Share that a class may hold, for short and for long work each, ahead of all other work once
  /// it got no start for `starvation_threshold`.
  std::array<double, base::kPriorityClassCount> guaranteed_share = {0.05, 0.05, 0.02};
  base::Duration starvation_threshold = std::chrono::milliseconds(500);

  /// Expected wait up to which work is admitted to a queue that has not been empty for
  /// `standing_queue_threshold`. Long work may also wait for half its expected run time.
  std::array<base::Duration, base::kPriorityClassCount> standing_queue_wait_limit = {
      std::chrono::milliseconds(200), std::chrono::milliseconds(100), std::chrono::seconds(2)};
  /// Expected wait up to which work is admitted before.
  std::array<base::Duration, base::kPriorityClassCount> burst_wait_limit = {
      std::chrono::milliseconds(500), std::chrono::milliseconds(500), std::chrono::seconds(10)};
  base::Duration standing_queue_threshold = std::chrono::milliseconds(300);
  /// Queued tasks of one class, and of one team in one class.
  size_t class_queue_limit = 100000;
  size_t team_queue_limit = 20000;

  /// Targets that are drawn at random for a placement, of which the best is chosen.
  int placement_candidate_count = 4;
  PlacementPolicy placement_policy = PlacementPolicy::kLowestSlowdown;
  /// Keeps a target free for a task that found no room for this time.
  std::array<base::Duration, base::kPriorityClassCount> reserve_target_after = {
      std::chrono::milliseconds(0), std::chrono::milliseconds(20), std::chrono::milliseconds(100)};
  /// Share of the targets that may be kept free before one more is for a task of this class; zero
  /// switches it off.
  std::array<double, base::kPriorityClassCount> reserved_target_share = {0.04, 0.04, 0.04};

  /// Switches for comparisons in bench/decisions.
  bool is_team_fairness_enabled = true;
  bool are_run_time_levels_enabled = true;
  bool is_long_work_separated = true;
  bool is_admission_control_enabled = true;

  /// Pairs of team and task kind whose run times are learned.
  size_t estimator_capacity = 65536;
  uint64_t random_seed = 1;
};

}  // namespace sapphirecrank::scheduling
