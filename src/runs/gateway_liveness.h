#pragma once

#include <map>

#include "base/ids.h"
#include "base/time.h"
#include "runs/scheduler_settings.h"

namespace sapphirecrank::runs {

struct LeasedTarget;

/// Records when each gateway was last known to wait for its batches, and limits the leases of
/// targets accordingly.
///
/// When a gateway is lost, its callers submit their jobs again through another one. No run of the
/// first submission may still be active then, so the leases have to end before that.
/// Thread safety: none.
class GatewayLiveness {
 public:
  explicit GatewayLiveness(const SchedulerSettings& settings);

  /// Records that `gateway` still waited for its batches at `alive_at`. Earlier times than the
  /// known one change nothing.
  void RecordAlive(const base::HostId& gateway, base::TimePoint alive_at);

  /// Returns whether runs may be started for `gateway`: it was alive less than
  /// `SchedulerSettings::gateway_timeout` ago.
  bool IsAlive(const base::HostId& gateway, base::TimePoint now) const;

  /// Returns the maximum length of a lease that `target` is granted at `now`. It is zero or
  /// negative if the lease must not be extended.
  base::Duration MaximumLeaseFor(const LeasedTarget& target, base::TimePoint now) const;

 private:
  SchedulerSettings settings;
  std::map<base::HostId, base::TimePoint> last_alive_at;
};

}  // namespace sapphirecrank::runs
