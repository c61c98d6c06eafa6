#pragma once

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/sharded.h"
#include "base/time.h"
#include "scheduling/target_state.h"
#include "targets/target_announcement.h"

namespace sapphirecrank::targets {

/// Registry of the targets that this entry host owns: their leases, addresses, and slots in use by
/// work that the scheduler doesn't count.
///
/// Targets start all work that they are sent, so a slot may only count as free when this is
/// certain. An attempt whose end is uncertain (timeout, lost connection) occupies its slot until a
/// later announcement no longer lists it. Thread safety: all methods may be called from any thread;
/// hooks run after the shard's lock is released, except `usable_from`, which runs under it.
class TargetRegistry {
 public:
  /// Callbacks of the registry; all must be set.
  struct Hooks {
    /// Current time.
    base::Clock now;
    /// Returns the earliest time at which this host may start work on a target. After an ownership
    /// change this is the end of the previous owner's lease.
    std::function<base::TimePoint(const base::TargetId&)> usable_from;
    /// Called with the new state of a target that announced itself or has an uncertain attempt.
    std::function<void(const scheduling::TargetState&)> update_target;
    /// Called when a target is removed.
    std::function<void(const base::TargetId&)> remove_target;
  };

  /// Attempts whose id begins with `own_attempt_prefix` count as started by this process.
  TargetRegistry(std::string own_attempt_prefix, Hooks hooks);

  /// Processes an announcement: adds the target or updates it, and renews its lease of 2 s.
  void OnAnnouncement(const TargetAnnouncement& announcement);

  /// Returns the address of a target, or nothing if the target is unknown.
  std::optional<base::NetworkAddress> AddressOf(const base::TargetId& target);

  /// Records that an attempt ended without a definite response and may still occupy its slot.
  void OnUncertainAttempt(const base::TargetId& target, const base::AttemptId& attempt);

  /// Removes the targets that have not announced themselves for 10 s. Should be called about once a
  /// second.
  void RemoveStaleTargets();

  /// Removes all targets for which `is_owned` returns false, after an ownership change.
  void RetainOwnedTargets(const std::function<bool(const base::TargetId&)>& is_owned);

  /// Returns the newest announcement of each target, in no particular order.
  std::vector<TargetAnnouncement> Announcements();

 private:
  struct RegisteredTarget {
    TargetAnnouncement announcement;
    base::TimePoint announced_at;
    /// Attempts that may still occupy a slot, with the time of the last `OnUncertainAttempt` for
    /// each.
    std::unordered_map<base::AttemptId, base::TimePoint> uncertain_attempts;
  };

  using Shard = std::unordered_map<base::TargetId, RegisteredTarget>;

  bool IsOwnAttempt(const base::AttemptId& attempt) const;
  scheduling::TargetState StateOf(const RegisteredTarget& target) const;
  void RemoveTargetsIf(
      const std::function<bool(const base::TargetId&, const RegisteredTarget&)>& condition);

  std::string own_attempt_prefix;
  Hooks hooks;
  base::Sharded<base::TargetId, Shard> shards;
};

}  // namespace sapphirecrank::targets
