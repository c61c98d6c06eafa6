#pragma once

#include <atomic>

#include "base/time.h"
#include "limits/automatic_actions.h"

namespace sapphirecrank::configuration {

struct Configuration;

/// Says whether this host's configuration is confirmed to be the current one.
///
/// Thread safety: `Confirm` belongs to the thread that drives the group's `RaftNode`; the other
/// methods may be called from any thread.
class FreshnessMonitor {
 public:
  /// Longest time for which a configuration counts as current without a confirmation.
  static constexpr base::Duration kMaximumAge = std::chrono::seconds(3);

  explicit FreshnessMonitor(base::Clock now);

  /// Takes `RaftStatus::up_to_date_as_of`: all that was committed before this time is applied here.
  void ConfirmUpToDate(base::TimePoint current_as_of);

  /// Tells whether the configuration was current at most `kMaximumAge` ago.
  bool IsConfigurationFresh() const;

  /// Returns the automatic actions that may be taken: those of the preset in force, or none while
  /// the configuration isn't confirmed, because an operator may have switched them off.
  limits::AutomaticActions AllowedActions(const Configuration& configuration) const;

 private:
  base::Clock now;
  std::atomic<base::Duration::rep> confirmed_time_since_epoch{0};
};

}  // namespace sapphirecrank::configuration
