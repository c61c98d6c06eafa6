#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/manual_clock.h"
#include "configuration/configuration_store.h"
#include "consensus/raft_node.h"

namespace sapphirecrank::bench {

/// A configuration group in virtual time: five voters, and learners without disks. A message takes
/// 1.5 ms one way, a synced write 5 ms. Thread safety: none.
class SimulatedGroup {
 public:
  /// Starts a group of `host_count` hosts and advances time by 5 s, so that it elects a leader.
  explicit SimulatedGroup(int host_count);

  /// Advances virtual time.
  void AdvanceTime(base::Duration duration);

  /// Proposes a change and returns the virtual time until all hosts have applied it. Precondition:
  /// the group has a leader.
  base::Duration MeasureChange();

  /// Returns the longest time, over all hosts, since a host was last known to be up to date.
  base::Duration MaximumStaleness();

  /// Messages and estimated bytes sent by all hosts, and by the leader.
  uint64_t message_count = 0;
  uint64_t byte_count = 0;
  uint64_t leader_message_count = 0;
  uint64_t leader_byte_count = 0;
  /// Processor time of all hosts, and of the leader.
  base::Duration processor_time{0};
  base::Duration leader_processor_time{0};

 private:
  struct Host {
    std::unique_ptr<consensus::RaftNode> node;
    configuration::ConfigurationStore store;
    std::vector<consensus::RaftMessage> outgoing_messages;
    bool has_written = false;
  };

  void StartHost(int number, const consensus::RaftMembership& membership, bool with_disk);
  void Step();
  void DeliverMessages(Host& host, const std::vector<consensus::RaftMessage>& arrived_messages);
  void SendOutgoingMessages(Host& host, bool is_leader);
  Host* FindLeader();
  bool HaveAllApplied(base::Version version);

  std::mt19937_64 random_engine{1};
  base::ManualClock clock;
  std::vector<std::unique_ptr<Host>> hosts;
  std::multimap<base::TimePoint, consensus::RaftMessage> in_flight_messages;
  int next_change_number = 0;
};

}  // namespace sapphirecrank::bench
