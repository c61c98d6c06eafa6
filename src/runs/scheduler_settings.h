#pragma once

#include <algorithm>

#include "base/time.h"

namespace sapphirecrank::runs {

/// Timeouts and leases for the runs on leased targets.
struct SchedulerSettings {
  /// Maximum length of a target's lease, on the target's own clock.
  base::Duration maximum_lease = std::chrono::milliseconds(1000);
  /// How long a target may delay the response to a poll. A lost response is detected after this
  /// time plus the timeout of calls; the sum is shorter than the lease.
  base::Duration poll_wait = std::chrono::milliseconds(300);
  /// Runs are started only for a gateway that has answered a heartbeat that was sent less than this
  /// long ago.
  base::Duration gateway_timeout = std::chrono::milliseconds(1000);
  /// A target's lease ends at most this long after the gateway of each of its runs was last known
  /// to wait for the run. No run is then active when the caller of a lost gateway submits its job
  /// again, after 1.3 s.
  base::Duration lease_after_gateway_contact = std::chrono::milliseconds(1200);
  /// No runs are started on a target that hasn't been heard from for this long: two heartbeats and
  /// the time in which a third one is redirected to another host.
  base::Duration target_silence_limit = std::chrono::milliseconds(3500);
  /// Targets that haven't been heard from for this long are dropped.
  base::Duration drop_target_after = std::chrono::seconds(10);

  /// Sets the limits for silent targets to those for targets that report at this interval.
  void SetTargetReportInterval(base::Duration interval) {
    constexpr base::Duration kRedirectTime = std::chrono::milliseconds(500);
    this->target_silence_limit = 2 * interval + kRedirectTime;
    this->drop_target_after = std::max(this->drop_target_after, 2 * this->target_silence_limit);
  }
};

}  // namespace sapphirecrank::runs
