#pragma once

namespace sapphirecrank::targets {

/// How far a target may be used, judged by the outcomes of its tasks.
enum class HealthState {
  kHealthy,
  /// Gets no work.
  kEjected,
  /// Gets one task at a time until it has proved itself.
  kProbation,
};

}  // namespace sapphirecrank::targets
