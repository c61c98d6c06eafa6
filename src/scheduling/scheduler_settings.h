#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/time.h"
#include "base/work_class.h"
#include "scheduling/placement_rule.h"

namespace sapphirecrank::scheduling {

/// Limits and rules of the scheduler. The defaults are those that measured best
/// (docs/measurements.md). Arrays are indexed by work class; shares are of the usable slots,
/// processors, memory or accelerators, whichever is scarcest.
struct SchedulerSettings {
  /// Work that is expected to take longer is long.
  base::Duration longest_short_run_time = std::chrono::milliseconds(1500);
  /// Share that long work of all classes may hold.
  double long_share = 0.4;
  /// Share that one class may hold.
  std::array<double, base::kWorkClassCount> class_share = {1.0, 1.0, 0.7};
  /// Share that a class leaves free for the classes above it.
  std::array<double, base::kWorkClassCount> reserve = {0, 0, 0.1};
  /// Share that long work leaves free in addition.
  double long_reserve = 0.03;
  /// Share that a class may hold, for short and for long work each, ahead of all other work once
  /// it got no start for `starvation_age`.
  std::array<double, base::kWorkClassCount> guaranteed_share = {0.05, 0.05, 0.02};
  base::Duration starvation_age = std::chrono::milliseconds(500);

  /// Expected wait up to which work is admitted to a queue that has not been empty for
  /// `standing_age`. Long work may also wait for half its expected run time.
  std::array<base::Duration, base::kWorkClassCount> standing_wait = {
      std::chrono::milliseconds(200), std::chrono::milliseconds(100), std::chrono::seconds(2)};
  /// Expected wait up to which work is admitted before.
  std::array<base::Duration, base::kWorkClassCount> burst_wait = {
      std::chrono::milliseconds(500), std::chrono::milliseconds(500), std::chrono::seconds(10)};
  base::Duration standing_age = std::chrono::milliseconds(300);
  /// Queued tasks of one class, and of one team in one class.
  size_t largest_class_queue = 100000;
  size_t largest_team_queue = 20000;

  /// Targets that are drawn at random for a placement, of which the best is chosen.
  int placement_choices = 4;
  PlacementPolicy placement = PlacementPolicy::kLowestSlowdown;
  /// Keeps a target free for a task that found no room for this time.
  std::array<base::Duration, base::kWorkClassCount> hold_target_after = {
      std::chrono::milliseconds(0), std::chrono::milliseconds(20), std::chrono::milliseconds(100)};
  /// Share of the targets that may be kept free before one more is for a task of this class; zero
  /// switches it off.
  std::array<double, base::kWorkClassCount> held_target_share = {0.04, 0.04, 0.04};

  /// Switches for comparisons in bench/decisions.
  bool fair_teams = true;
  bool size_levels = true;
  bool separate_long_work = true;
  bool admission = true;

  /// Pairs of team and task kind whose run times are learned.
  size_t learned_kinds = 65536;
  uint64_t seed = 1;
};

}  // namespace sapphirecrank::scheduling
