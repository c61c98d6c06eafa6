#pragma once

#include <map>

#include "base/ids.h"
#include "base/time.h"
#include "runs/scheduler_settings.h"

namespace sapphirecrank::runs {

struct LeasedTarget;

/// How long the gateways that placed work are known to wait for it, and how long the leases of
/// targets may therefore be.
///
/// The caller of a gateway that is lost submits its job again elsewhere; no run of the first
/// submission may be left then. Thread safety: none.
class GatewayLiveness {
 public:
  explicit GatewayLiveness(const SchedulerSettings& settings);

  /// Takes note that `gateway` still waited at `alive_at`.
  void RecordAlive(const base::HostId& gateway, base::TimePoint alive_at);

  /// Tells whether runs may be started for `gateway`.
  bool IsAlive(const base::HostId& gateway, base::TimePoint now) const;

  /// Returns how long the lease of a target may be from now on; not positive if it may not be
  /// extended.
  base::Duration MaximumLeaseFor(const LeasedTarget& target, base::TimePoint now) const;

 private:
  SchedulerSettings settings;
  std::map<base::HostId, base::TimePoint> last_alive_at;
};

}  // namespace sapphirecrank::runs
