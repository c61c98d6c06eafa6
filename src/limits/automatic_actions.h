#pragma once

namespace sapphirecrank::limits {

/// Actions that the dispatcher may take automatically, set by the preset in force.
///
/// An action that is disabled is never taken; the status counts how often it would have been.
struct AutomaticActions {
  /// Ejects a failing target, which then gets no work.
  bool ejection = true;
  /// Sends an idempotent request to a second target if the first one is slow.
  bool hedging = true;
  /// Lowers the concurrency limit of a target whose response time grows.
  bool throttling = true;
  /// Refuses bulk work early in favour of other classes.
  bool bulk_shedding = true;
  /// Retries work with the verdict "not run", and idempotent requests after any failure.
  bool retry = true;
};

}  // namespace sapphirecrank::limits
