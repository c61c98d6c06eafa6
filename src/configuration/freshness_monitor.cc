#include "configuration/freshness_monitor.h"

#include <utility>

#include "configuration/configuration.h"
#include "configuration/preset.h"

namespace sapphirecrank::configuration {

FreshnessMonitor::FreshnessMonitor(base::Clock now) : now(std::move(now)) {}

void FreshnessMonitor::ConfirmUpToDate(base::TimePoint current_as_of) {
  base::Duration::rep time = current_as_of.time_since_epoch().count();
  if (time > this->confirmed_time_since_epoch.load()) {
    this->confirmed_time_since_epoch.store(time);
  }
}

bool FreshnessMonitor::IsConfigurationFresh() const {
  base::TimePoint confirmed_time(base::Duration(this->confirmed_time_since_epoch.load()));
  // The clock of the machine starts at zero when it boots.
  return confirmed_time != base::TimePoint() && this->now() - confirmed_time <= kMaximumAge;
}

limits::AutomaticActions FreshnessMonitor::AllowedActions(
    const Configuration& configuration) const {
  return this->IsConfigurationFresh() ? configuration.active_preset().automatic_actions
                                      : Preset::DisabledActions();
}

}  // namespace sapphirecrank::configuration
