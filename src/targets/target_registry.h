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

/// The targets that this entry host owns: leases, addresses and the slots that are in use by work
/// which the scheduler doesn't count.
///
/// Targets start whatever they are given, so a slot counts as free only when it is certain: an
/// attempt without a certain end (timeout, lost connection) keeps its slot until a later
/// announcement no longer lists it. Thread safety: all methods may be called from any thread;
/// hooks run after the shard's lock is released.
class TargetRegistry {
 public:
  /// Behaviour handed in; all members must be set.
  struct Hooks {
    base::Clock now;
    /// Earliest time at which this host may start work on a target (see ownership changes).
    std::function<base::TimePoint(const base::TargetId&)> usable_from;
    /// Called with the new state of a target.
    std::function<void(const scheduling::TargetState&)> update_target;
    /// Called when a target is forgotten.
    std::function<void(const base::TargetId&)> remove_target;
  };

  /// Attempts whose id begins with `own_attempt_prefix` were started by this process.
  TargetRegistry(std::string own_prefix, Hooks hooks);

  /// Takes in an announcement and renews the lease of 2 s.
  void OnAnnouncement(const TargetAnnouncement& announcement);

  /// Returns where to call the target, or nothing if it isn't known.
  std::optional<base::NetworkAddress> AddressOf(const base::TargetId& target);

  /// Notes that an attempt ended without a certain answer and may still occupy its slot.
  void OnUncertainAttempt(const base::TargetId& target, const base::AttemptId& attempt);

  /// Forgets targets that have not announced themselves for 10 s. Call it about once a second.
  void RemoveStaleTargets();

  /// Forgets all targets for which `is_owned` is false, after a change of owner.
  void RetainOwnedTargets(const std::function<bool(const base::TargetId&)>& is_owned);

  /// Returns the known announcements, newest of each target, in no order.
  std::vector<TargetAnnouncement> Announcements();

 private:
  struct RegisteredTarget {
    TargetAnnouncement announcement;
    base::TimePoint announced_at;
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
