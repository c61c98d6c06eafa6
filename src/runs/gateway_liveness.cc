#include "runs/gateway_liveness.h"

#include <algorithm>

#include "runs/leased_target.h"

namespace sapphirecrank::runs {

using base::Duration;
using base::HostId;
using base::TimePoint;

GatewayLiveness::GatewayLiveness(const SchedulerSettings& settings) : settings(settings) {}

void GatewayLiveness::RecordAlive(const HostId& gateway, TimePoint alive_at) {
  TimePoint& last_alive = this->last_alive_at[gateway];
  last_alive = std::max(last_alive, alive_at);
}

bool GatewayLiveness::IsAlive(const HostId& gateway, TimePoint now) const {
  const auto found = this->last_alive_at.find(gateway);
  return found != this->last_alive_at.end() && now - found->second < this->settings.gateway_timeout;
}

Duration GatewayLiveness::MaximumLeaseFor(const LeasedTarget& target, TimePoint now) const {
  TimePoint lease_end = now + this->settings.maximum_lease;
  for (const auto& [key, run] : target.runs) {
    if (run.stop_confirmed_at || !run.reserves_task) {
      continue;
    }
    const auto gateway = this->last_alive_at.find(run.batch.gateway);
    TimePoint last_awaited_at =
        gateway == this->last_alive_at.end() ? run.start_requested_at : gateway->second;
    if (run.abandoned_at) {
      last_awaited_at = std::min(last_awaited_at, *run.abandoned_at);
    }
    lease_end = std::min(lease_end, last_awaited_at + this->settings.lease_after_gateway_contact);
  }
  return lease_end - now;
}

}  // namespace sapphirecrank::runs
