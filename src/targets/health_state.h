#pragma once

namespace sapphirecrank::targets {

/// Health of a target, derived from the outcomes of its tasks.
enum class HealthState {
  kHealthy,
  /// Gets no work.
  kEjected,
  /// Gets one task at a time until enough tasks in a row have succeeded.
  kProbation,
};

}  // namespace sapphirecrank::targets
