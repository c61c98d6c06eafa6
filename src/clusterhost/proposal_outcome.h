#pragma once

namespace sapphirecrank::clusterhost {

/// Outcome of a proposed change of the configuration or of the stored jobs.
enum class ProposalOutcome {
  /// The change is committed; for a configuration, this or a higher version is in force.
  kCommitted,
  /// Another host leads the group; the change was not proposed.
  kNotLeader,
  /// Not known; the change may be committed later.
  kUnknown,
};

}  // namespace sapphirecrank::clusterhost
