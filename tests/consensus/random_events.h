#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "tests/consensus/raft_cluster.h"

namespace sapphirecrank::consensus {

/// Plays a sequence of random events and faults on a group of three voters and two spare hosts.
class RandomEvents {
 public:
  explicit RandomEvents(uint64_t seed) : cluster(seed, 3, 5, RaftCluster::ShortLogs()) {}

  /// Plays an event; its kind and its parameters come from the bits of `event`.
  void Play(uint32_t event);

  /// Ends the faults and returns whether every check held.
  bool Finish() { return this->cluster.Recover() && this->cluster.violations().empty(); }

  /// Returns how many faults were provoked.
  int faults() const { return this->fault_count; }

  const std::vector<std::string>& violations() const { return this->cluster.violations(); }

 private:
  void ChangeMembership(int host, uint32_t kind);

  RaftCluster cluster;
  int fault_count = 0;
};

}  // namespace sapphirecrank::consensus
