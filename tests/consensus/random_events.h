#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "tests/consensus/raft_cluster.h"

namespace sapphirecrank::consensus {

/// Runs a sequence of random events and faults on a group of three voters and two hosts that are
/// not members at first.
class RandomEvents {
 public:
  explicit RandomEvents(uint64_t seed) : cluster(seed, 3, 5, RaftCluster::ShortLogs()) {}

  /// Runs an event. Its kind and parameters are derived from `event`.
  void ApplyEvent(uint32_t event);

  /// Ends all faults and returns whether the group recovered without a violation.
  bool Finish() { return this->cluster.Recover() && this->cluster.violations().empty(); }

  /// Returns the number of injected faults.
  int injected_fault_count() const { return this->fault_count; }

  /// Returns descriptions of the violated invariants.
  const std::vector<std::string>& violations() const { return this->cluster.violations(); }

 private:
  /// `replaced` is used only if a voter is replaced.
  void ChangeMembership(int host, int replaced, uint32_t kind);

  RaftCluster cluster;
  int fault_count = 0;
};

}  // namespace sapphirecrank::consensus
