#pragma once

#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "targets/health_counters.h"
#include "targets/health_state.h"

namespace sapphirecrank::targets {

/// A circuit breaker for each target, which ejects a target that fails everything it starts.
///
/// A target is ejected after `kFailuresBeforeEjection` failures in a row, unless most outcomes of
/// all targets are failures (then the work is at fault) or too large a share of targets is ejected.
/// After a delay, which doubles with each ejection in a row, it is on trial: the caller gives it
/// one task at a time, and `kSuccessesBeforeRecovery` successes in a row make it healthy. Thread
/// safety: none; the owner holds its lock.
class TargetHealthTracker {
 public:
  /// Tasks that fail one after the other on a target before it is ejected.
  static constexpr int kFailuresBeforeEjection = 5;
  static constexpr int kSuccessesBeforeRecovery = 3;
  /// Ejected targets and targets on trial are at most one in this many.
  static constexpr size_t kTargetsPerEjectedTarget = 5;
  static constexpr base::Duration kFirstEjectionDuration = std::chrono::seconds(1);
  static constexpr base::Duration kMaximumEjectionDuration = std::chrono::seconds(30);

  /// Adds a healthy target; a known one keeps its state.
  void AddTarget(const base::TargetId& target);

  /// Forgets a target.
  void RemoveTarget(const base::TargetId& target);

  /// Switches ejection on or off. Switching off returns all targets; the ids of those that were not
  /// healthy are returned.
  std::vector<base::TargetId> SetEjectionEnabled(bool enabled);

  /// Counts the outcome of a task and returns the target's state after it. An unknown target is
  /// healthy and stays unknown.
  HealthState OnTaskOutcome(const base::TargetId& target, bool succeeded, base::TimePoint now);

  /// Puts targets on trial whose ejection ended by `now` and returns them.
  std::vector<base::TargetId> BeginProbations(base::TimePoint now);

  /// Returns the state of a target; an unknown one is healthy.
  HealthState StateOf(const base::TargetId& target) const;

  /// Returns the counters.
  HealthCounters Counters() const;

 private:
  struct TargetRecord {
    HealthState state = HealthState::kHealthy;
    int consecutive_failures = 0;
    int consecutive_successes = 0;
    int consecutive_ejections = 0;
    base::TimePoint ejected_until;
  };

  void OnSuccess(TargetRecord& record);
  void OnFailure(const base::TargetId& target, TargetRecord& record, base::TimePoint now);
  void EjectTargetIfAllowed(const base::TargetId& target, TargetRecord& record,
                            base::TimePoint now);
  void EjectTarget(const base::TargetId& target, TargetRecord& record, base::TimePoint now);

  bool is_ejection_enabled = true;
  /// Moving share of failures among the outcomes of targets that are not failing in a row.
  double failure_share = 0;
  HealthCounters counters;
  std::unordered_map<base::TargetId, TargetRecord> records;
  std::set<std::pair<base::TimePoint, base::TargetId>> ejection_ends;
};

}  // namespace sapphirecrank::targets
