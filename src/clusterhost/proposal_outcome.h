#pragma once

namespace sapphirecrank::clusterhost {

/// What became of a configuration that was sent.
enum class ProposalOutcome {
  /// It or a higher version is in force.
  kCommitted,
  /// Another host leads.
  kNotLeader,
  /// Not known; it may come in force later.
  kUnknown,
};

}  // namespace sapphirecrank::clusterhost
