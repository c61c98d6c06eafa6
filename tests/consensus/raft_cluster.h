#pragma once

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/manual_clock.h"
#include "consensus/raft_disk_storage.h"
#include "consensus/raft_node.h"
#include "tests/storage/faulty_file_system.h"

namespace sapphirecrank::consensus {

/// Hosts of one group in memory, with a network and disks that fail on demand.
///
/// After each step it checks what must hold in every schedule: one leader and one vote of a host in
/// each term, equal entries at equal index and term, committed entries equal everywhere and known
/// to each new leader, lease holders and hosts that call themselves current not behind.
class RaftCluster {
 public:
  /// Creates hosts "h0" and so on; the first `voters` of them form the group.
  RaftCluster(uint64_t seed, int voters, int hosts, const RaftSettings& settings);

  /// Settings with short logs, so that snapshots are frequent.
  static RaftSettings ShortLogs();

  static base::HostId Name(int number) { return base::HostId("h" + std::to_string(number)); }

  /// Advances time in small slices: messages arrive, hosts tick and flush.
  void Run(base::Duration duration);

  /// Runs until a condition holds, at most `limit`. Returns whether it holds.
  bool RunUntil(const std::function<bool()>& condition, base::Duration limit);

  /// Proposes a new command on each host that takes itself for the leader. Returns how many did.
  int Propose();

  void Crash(int host);
  /// Starts a host from its disk if it is down. Returns false if its files are refused.
  bool Restart(int host);

  /// Loses messages from one host to another until `Heal`.
  void Cut(int from, int to) { this->cut.insert({Name(from), Name(to)}); }
  /// Cuts a host off in both directions until `Heal`.
  void Isolate(int host);
  /// Cuts between hosts with a set bit in `side` and the others.
  void Partition(unsigned side);
  void Heal();

  /// Shares, in percent, of messages that are lost, repeated, or delayed by up to 400 ms.
  void SetNetwork(int lost, int repeated, int delayed);

  /// Ends faults, starts all hosts, and checks that a new command reaches all members.
  bool Recover();

  /// Returns the running host that leads in the latest term, or -1.
  int Leader() const;

  RaftNode* node(int host) { return this->hosts[static_cast<size_t>(host)]->node.get(); }
  storage::FaultyFileSystem& disk(int host) { return this->hosts[static_cast<size_t>(host)]->disk; }
  const std::vector<std::string>& applied(int host) const {
    return this->hosts[static_cast<size_t>(host)]->commands;
  }
  /// Removes the disk of a host; it starts without storage from now on.
  void MakeDiskless(int host) { this->hosts[static_cast<size_t>(host)]->diskless = true; }
  int size() const { return static_cast<int>(this->hosts.size()); }
  const base::ManualClock& clock() const { return this->manual_clock; }
  /// Messages that are on their way; tests may change them.
  std::multimap<base::TimePoint, RaftMessage>& network() { return this->messages; }
  uint64_t sent_snapshot_chunks() const { return this->chunks; }

  /// Descriptions of what didn't hold; empty if all is well.
  const std::vector<std::string>& violations() const { return this->found; }

 private:
  struct Host {
    explicit Host(uint64_t seed) : disk(seed) {}

    storage::FaultyFileSystem disk;
    std::unique_ptr<RaftDiskStorage> raft_disk;
    std::unique_ptr<RaftNode> node;
    std::vector<std::string> commands;
    base::LogIndex checked;
    bool diskless = false;
  };

  RaftNode::Hooks MakeHooks(Host& host);
  void Send(const RaftMessage& message);
  void Deliver();
  void FlushHost(int number);
  void CheckMessage(const RaftMessage& message);
  void CheckHost(int number);
  void CheckLeaderHasCommitted(const RaftNode& leader);
  base::LogIndex CommittedBefore(base::TimePoint time) const;
  void Violation(const std::string& text);
  bool Chance(int percent) { return static_cast<int>(this->random() % 100) < percent; }

  std::mt19937_64 random;
  RaftSettings settings;
  RaftMembership initial;
  base::ManualClock manual_clock;
  std::vector<std::unique_ptr<Host>> hosts;
  std::multimap<base::TimePoint, RaftMessage> messages;
  std::set<std::pair<base::HostId, base::HostId>> cut;
  int lost_percent = 0;
  int repeated_percent = 0;
  int delayed_percent = 0;
  int next_command = 0;
  uint64_t incarnations = 0;
  uint64_t chunks = 0;

  std::map<base::Term, base::HostId> leaders;
  std::map<std::pair<base::HostId, base::Term>, base::HostId> votes;
  std::map<std::pair<base::LogIndex, base::Term>, std::string> entries;
  std::map<base::LogIndex, base::Term> committed;
  // When each index was first known to be committed anywhere.
  std::map<base::TimePoint, base::LogIndex> commit_times;
  // All committed commands in order.
  std::map<base::LogIndex, std::string> commands;
  std::vector<std::string> found;
};

}  // namespace sapphirecrank::consensus
