#pragma once

#include <atomic>

#include "base/time.h"
#include "limits/automatic_actions.h"

namespace sapphirecrank::configuration {

struct Configuration;

/// Tells whether this host's configuration is confirmed to be up to date.
///
/// Thread safety: `ConfirmUpToDate` must be called on the thread that runs the group's `RaftNode`;
/// the other methods may be called from any thread.
class FreshnessMonitor {
 public:
  /// Maximum time for which a configuration counts as fresh after a confirmation.
  static constexpr base::Duration kMaximumAge = std::chrono::seconds(3);

  /// `now` must be callable from any thread.
  explicit FreshnessMonitor(base::Clock now);

  /// Confirms that all changes that were committed before `up_to_date_as_of` are applied on this
  /// host; the value is that of `RaftStatus::up_to_date_as_of`. Ignores a time that isn't after the
  /// latest confirmed one.
  void ConfirmUpToDate(base::TimePoint up_to_date_as_of);

  /// Tells whether the configuration was up to date at most `kMaximumAge` ago.
  bool IsConfigurationFresh() const;

  /// Returns the automatic actions that may be taken: those of the active preset, or none while the
  /// configuration isn't fresh, because an operator may have switched them off.
  limits::AutomaticActions AllowedActions(const Configuration& configuration) const;

 private:
  base::Clock now;
  std::atomic<base::Duration::rep> confirmed_time_since_epoch{0};
};

}  // namespace sapphirecrank::configuration
