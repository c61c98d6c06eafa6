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

/// Simulates the hosts of one Raft group in memory, with a network and disks that fail on demand.
///
/// After each step it checks the invariants that hold in every schedule: each term has at most one
/// leader, and each host votes for at most one candidate in it; entries of equal index and term are
/// equal; committed entries are equal on all hosts and known to each new leader; a host with the
/// leader lease has applied all committed entries, and every host has applied what was committed
/// before its `up_to_date_as_of`.
class RaftCluster {
 public:
  /// Creates and starts `hosts` hosts, "h0", "h1" and so on; the first `voters` of them are the
  /// initial voters of the group.
  RaftCluster(uint64_t seed, int voters, int hosts, const RaftSettings& settings);

  /// Returns settings with short logs, so that snapshots are frequent.
  static RaftSettings ShortLogs();

  static base::HostId HostName(int number) { return base::HostId("h" + std::to_string(number)); }

  /// Advances time in small steps. In each step the due messages arrive, and all hosts tick and
  /// flush.
  void Run(base::Duration duration);

  /// Runs until `condition` holds, but at most for `limit`. Returns whether it holds.
  bool RunUntil(const std::function<bool()>& condition, base::Duration limit);

  /// Proposes a new command on each running host. Returns how many hosts accepted one as leader.
  int Propose();

  /// Stops a host. What it has not synced to its disk may be lost.
  void Crash(int host);
  /// Starts a host from its disk if it is down. Returns false if its files can't be opened.
  bool Restart(int host);

  /// Drops messages from one host to another until `HealNetwork`.
  void CutLink(int from, int to) { this->cut_links.insert({HostName(from), HostName(to)}); }
  /// Cuts a host off in both directions until `HealNetwork`.
  void Isolate(int host);
  /// Cuts all links between the hosts whose bit is set in `side_bits` and the others.
  void PartitionNetwork(unsigned side_bits);
  /// Restores all links, and ends loss, repetition and delay of messages.
  void HealNetwork();

  /// Sets which shares of the messages, in percent, are lost, repeated, or delayed by up to 400 ms.
  void SetNetworkFaults(int lost, int repeated, int delayed);

  /// Ends all faults, restarts all hosts, and checks that a new command reaches all members and
  /// that no committed command is lost. Returns whether all checks held.
  bool Recover();

  /// Returns the running host that leads in the latest term, or -1.
  int Leader() const;

  RaftNode* node(int host) { return this->hosts[static_cast<size_t>(host)]->node.get(); }
  storage::FaultyFileSystem& disk(int host) { return this->hosts[static_cast<size_t>(host)]->disk; }
  const std::vector<std::string>& applied_commands(int host) const {
    return this->hosts[static_cast<size_t>(host)]->applied_commands;
  }
  /// Makes a host start without storage from its next restart on.
  void MakeDiskless(int host) { this->hosts[static_cast<size_t>(host)]->is_diskless = true; }
  int host_count() const { return static_cast<int>(this->hosts.size()); }
  const base::ManualClock& clock() const { return this->manual_clock; }
  /// Returns the messages in flight by time of arrival; tests may change them.
  std::multimap<base::TimePoint, RaftMessage>& messages_in_flight() { return this->in_flight; }
  uint64_t sent_snapshot_chunks() const { return this->snapshot_chunk_count; }

  /// Returns descriptions of the violated invariants.
  const std::vector<std::string>& violations() const { return this->violation_texts; }

 private:
  struct Host {
    explicit Host(uint64_t seed) : disk(seed) {}

    storage::FaultyFileSystem disk;
    std::unique_ptr<RaftDiskStorage> disk_storage;
    std::unique_ptr<RaftNode> node;
    std::vector<std::string> applied_commands;
    base::LogIndex checked_index;
    bool is_diskless = false;
  };

  RaftNode::Hooks MakeHooks(Host& host);
  void SendMessage(const RaftMessage& message);
  void DeliverDueMessages();
  void FlushHost(int number);
  void CheckMessage(const RaftMessage& message);
  void CheckHost(int number);
  void CheckLeaderHasCommitted(const RaftNode& leader);
  base::LogIndex CommitIndexBefore(base::TimePoint time) const;
  void AddViolation(const std::string& text);
  bool HappensWithChance(int percent) {
    return static_cast<int>(this->random_engine() % 100) < percent;
  }

  std::mt19937_64 random_engine;
  RaftSettings settings;
  RaftMembership initial_membership;
  base::ManualClock manual_clock;
  std::vector<std::unique_ptr<Host>> hosts;
  std::multimap<base::TimePoint, RaftMessage> in_flight;
  std::set<std::pair<base::HostId, base::HostId>> cut_links;
  int lost_percent = 0;
  int repeated_percent = 0;
  int delayed_percent = 0;
  int next_command_number = 0;
  uint64_t last_incarnation = 0;
  uint64_t snapshot_chunk_count = 0;

  std::map<base::Term, base::HostId> leaders_by_term;
  std::map<std::pair<base::HostId, base::Term>, base::HostId> votes_by_host_and_term;
  std::map<std::pair<base::LogIndex, base::Term>, std::string> commands_by_index_and_term;
  std::map<base::LogIndex, base::Term> committed_terms;
  // Commit index of the group by the time when a host first reported it.
  std::map<base::TimePoint, base::LogIndex> commit_times;
  std::map<base::LogIndex, std::string> committed_commands;
  std::vector<std::string> violation_texts;
};

}  // namespace sapphirecrank::consensus
