#include "configuration/freshness_monitor.h"

#include <utility>

#include "configuration/configuration.h"
#include "configuration/preset.h"

namespace sapphirecrank::configuration {

FreshnessMonitor::FreshnessMonitor(base::Clock now) : now(std::move(now)) {}

void FreshnessMonitor::ConfirmUpToDate(base::TimePoint up_to_date_as_of) {
  base::Duration::rep ticks_since_epoch = up_to_date_as_of.time_since_epoch().count();
  if (ticks_since_epoch > this->confirmed_time_since_epoch.load()) {
    this->confirmed_time_since_epoch.store(ticks_since_epoch);
  }
}

bool FreshnessMonitor::IsConfigurationFresh() const {
  base::TimePoint confirmed_time(base::Duration(this->confirmed_time_since_epoch.load()));
  // Zero means that nothing was confirmed yet. It is checked separately, because the monotonic
  // clock starts at zero at boot, and zero may then be less than `kMaximumAge` ago.
  return confirmed_time != base::TimePoint() && this->now() - confirmed_time <= kMaximumAge;
}

limits::AutomaticActions FreshnessMonitor::AllowedActions(
    const Configuration& configuration) const {
  return this->IsConfigurationFresh() ? configuration.active_preset().automatic_actions
                                      : Preset::DisabledActions();
}

}  // namespace sapphirecrank::configuration
