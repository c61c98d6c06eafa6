#pragma once

namespace sapphirecrank::limits {

/// Which actions the dispatcher may take by itself; set by the preset in force.
///
/// An action that is switched off is never taken; the status counts what would have been done.
struct AutomaticActions {
  /// Takes a failing target out of use.
  bool ejection = true;
  /// Sends an idempotent request to a second target while the first is slow.
  bool hedging = true;
  /// Lowers the concurrency of a target whose response time grows.
  bool throttling = true;
  /// Refuses bulk work early in favour of other classes.
  bool bulk_shedding = true;
  /// Sends work again after "not run", or an idempotent request after any failure.
  bool retry = true;
};

}  // namespace sapphirecrank::limits
