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

/// Circuit breaker for each target, which ejects targets that fail all their tasks.
///
/// A target is ejected after `kFailuresBeforeEjection` failures in a row, unless most outcomes of
/// all targets are failures (then the work is assumed to be at fault) or the maximum share of
/// targets is ejected already. After a delay, which doubles with each ejection in a row, the target
/// is on probation: the caller gives it one task at a time, and `kSuccessesBeforeRecovery`
/// successes in a row make it healthy. A failure on probation ejects it again. Thread safety: none;
/// the owner holds a lock.
class TargetHealthTracker {
 public:
  /// Number of failures in a row after which a target is ejected.
  static constexpr int kFailuresBeforeEjection = 5;
  /// Number of successes in a row on probation after which a target is healthy.
  static constexpr int kSuccessesBeforeRecovery = 3;
  /// At most one in this many targets may be ejected or on probation.
  static constexpr size_t kTargetsPerEjectedTarget = 5;
  /// Duration of the first ejection; doubles with each further one in a row.
  static constexpr base::Duration kFirstEjectionDuration = std::chrono::seconds(1);
  static constexpr base::Duration kMaximumEjectionDuration = std::chrono::seconds(30);

  /// Adds a healthy target. A target that is already known keeps its state.
  void AddTarget(const base::TargetId& target);

  /// Removes a target.
  void RemoveTarget(const base::TargetId& target);

  /// Enables or disables ejection. Disabling it makes all targets healthy and returns the ids of
  /// those that were not.
  std::vector<base::TargetId> SetEjectionEnabled(bool enabled);

  /// Records the outcome of a task and returns the state of the target after it. The outcome is
  /// ignored for an unknown target, which counts as healthy.
  HealthState OnTaskOutcome(const base::TargetId& target, bool succeeded, base::TimePoint now);

  /// Puts the targets whose ejection has ended by `now` on probation and returns their ids.
  std::vector<base::TargetId> BeginProbations(base::TimePoint now);

  /// Returns the state of a target. An unknown target counts as healthy.
  HealthState StateOf(const base::TargetId& target) const;

  /// Returns the counters of all targets.
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
  /// Moving average of the share of failures among the outcomes of all targets. Of failures in a
  /// row on one target, only the first `kFailuresBeforeEjection` count.
  double failure_share = 0;
  HealthCounters counters;
  std::unordered_map<base::TargetId, TargetRecord> records;
  /// Ejected targets, ordered by the end of their ejection.
  std::set<std::pair<base::TimePoint, base::TargetId>> ejection_ends;
};

}  // namespace sapphirecrank::targets
