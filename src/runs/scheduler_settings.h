#pragma once

#include "base/time.h"

namespace sapphirecrank::runs {

/// Bounds of the runs on leased targets.
struct SchedulerSettings {
  /// Longest lease that a target grants, on its own clock.
  base::Duration longest_lease = std::chrono::milliseconds(1000);
  /// How long a target may hold back the answer to a look. A lost answer is noticed after this and
  /// the timeout of calls, which together stay below the lease.
  base::Duration poll_wait = std::chrono::milliseconds(300);
  /// Runs are started only for a gateway that has answered a heartbeat sent within this time.
  base::Duration gateway_timeout = std::chrono::milliseconds(1000);
  /// Leases end at most this long after a gateway with runs there was last known to wait for them,
  /// so that none goes on when the caller of a lost gateway submits its job again (1.3 s).
  base::Duration lease_after_gateway_contact = std::chrono::milliseconds(1200);
  /// Targets that haven't been heard of for this long get no new runs: two heartbeats and the time
  /// in which a third is taken to another host.
  base::Duration target_silence_limit = std::chrono::milliseconds(3500);
  /// Targets that haven't been heard of for this long are dropped.
  base::Duration drop_target_after = std::chrono::seconds(10);
};

}  // namespace sapphirecrank::runs
