#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/manual_clock.h"
#include "cluster/cluster_state.h"
#include "cluster/evacuation_order.h"
#include "cluster/group_membership.h"
#include "consensus/raft_disk_storage.h"
#include "consensus/raft_node.h"
#include "tests/storage/faulty_file_system.h"

namespace sapphirecrank::cluster {

/// Simulates a group whose hosts are lost, replaced and cut off, with their replicas of the log and
/// their membership decisions, in memory and with a simulated clock.
///
/// A host counts as lost while it is down, frozen or cut off, and for the catch-up time after that.
class GroupSimulation {
 public:
  /// Starts `host_count` hosts that know each other, in `data_centre_count` data centres in turn.
  /// The first `voter_count` are the initial voters.
  GroupSimulation(uint64_t seed, size_t voter_count, size_t host_count, size_t data_centre_count);
  ~GroupSimulation();

  /// Advances time in small steps.
  void Run(base::Duration duration);

  /// Starts a host with a new address and an empty disk, and returns its number.
  size_t AddHost(const base::DataCentreId& data_centre);

  /// Ends a host; its disk never returns.
  void RemoveForGood(size_t host);

  /// Lets another host, which isn't a member, have the address of one that was removed for good.
  void ReuseAddress(size_t host) { this->hosts[host]->has_other_host = true; }

  /// Ends the process of a host; `Restart` starts it again.
  void Kill(size_t host);
  void Restart(size_t host);

  /// Ends the process of a host whose disk is lost; `Restart` starts it with an empty one.
  void LoseDisk(size_t host);

  /// Announces that a host is stopping, and transfers its leadership. The caller ends it with
  /// `Kill` or `RemoveForGood`.
  void AnnounceStop(size_t host);

  /// Stops a process for a while; its messages and its timers wait.
  void SetFrozen(size_t host, bool is_frozen);

  /// Cuts a host off from all others, or restores its links.
  void SetCutOff(size_t host, bool is_cut_off);

  /// Cuts the links between the hosts in `side` and all others, until called with an empty set.
  void Split(const std::set<size_t>& side) { this->split_side = side; }

  /// Delays each write of a host's disk to the group by this much.
  void SetDiskDelay(size_t host, base::Duration delay);

  /// Returns the running host that leads with a lease, or `kNoHost`.
  size_t Leader() const;

  /// Proposes a command at the leader and runs until it is committed there, for `limit` at most.
  /// Returns whether it was committed.
  bool Commit(base::Duration limit);

  /// Tells whether all commands for which `Commit` returned true are applied on the leader.
  bool KeepsCommittedCommands() const;

  /// Sends an order about an evacuation to each host that takes itself for the leader, again every
  /// 100 ms until one of them has committed it, for `limit` at most. Returns whether it was
  /// committed.
  bool OrderEvacuation(cluster::EvacuationOrder order, base::Duration limit);

  /// Returns what is wrong with the evacuations, or nothing: hosts that have different states of
  /// one revision, or a leader that hasn't got the last acknowledged order for a data centre.
  /// Orders that were sent after it and not acknowledged may be in force.
  std::string EvacuationViolation() const;

  /// Tells whether the group has as many voters as desired, all of which run and are connected, and
  /// the loss of one data centre leaves a majority if `check_data_centres` is set.
  bool IsComplete(bool check_data_centres) const;

  /// Tells whether the host's vote still waits for a successor.
  bool IsVoteHandoverPending(size_t host) const;

  bool IsRunning(size_t host) const;
  size_t host_count() const { return this->hosts.size(); }
  const base::DataCentreId& data_centre(size_t host) const {
    return this->hosts[host]->data_centre;
  }
  base::TimePoint Now() const { return this->clock.Now(); }
  /// Returns the leader's view of the group as text, for failure messages.
  std::string Describe() const;

  static constexpr size_t kNoHost = SIZE_MAX;

 private:
  struct Host {
    base::HostId address;
    base::DataCentreId data_centre;
    std::string store_id;
    std::unique_ptr<storage::FaultyFileSystem> disk;
    std::unique_ptr<consensus::RaftDiskStorage> disk_storage;
    std::unique_ptr<consensus::RaftNode> node;
    std::unique_ptr<GroupMembership> membership;
    std::set<std::string> applied_commands;
    std::unique_ptr<ClusterState> state;
    base::Duration disk_delay{0};
    base::TimePoint busy_until;
    bool is_gone = false;
    bool has_other_host = false;
    bool is_frozen = false;
    bool is_cut_off = false;
    bool is_leaving = false;
  };
  /// The orders for one data centre since the last acknowledged one.
  struct OrderHistory {
    std::optional<EvacuationOrder::Kind> acknowledged;
    bool has_later_order = false;
  };
  struct JoinRequestMessage {
    base::HostId from;
    base::HostId to;
    base::HostId member;
  };

  base::HostId MemberOf(const Host& host) const;
  size_t IndexOf(const base::HostId& address) const;
  /// Tells whether messages pass between two hosts. Those for a frozen one wait.
  bool IsLinkUp(size_t a, size_t b) const;
  bool AreConnected(size_t a, size_t b) const;
  bool IsReachable(size_t from, const base::HostId& address) const;
  consensus::RaftNode::Hooks NodeHooks(Host& host);
  std::unique_ptr<ClusterState> MakeState(Host& host);
  void CheckEvacuations(const Host& host);
  GroupMembership::Hooks MembershipHooks(size_t host);
  void UpdateContacts();
  void DeliverDueMessages();
  void TickHost(size_t host);
  bool CanRun(size_t host) const;

  std::mt19937_64 random;
  base::ManualClock clock;
  consensus::RaftMembership initial_membership;
  std::vector<std::unique_ptr<Host>> hosts;
  std::multimap<base::TimePoint, consensus::RaftMessage> raft_messages;
  std::multimap<base::TimePoint, JoinRequestMessage> join_requests;
  std::map<std::pair<size_t, size_t>, base::TimePoint> last_contacts;
  std::set<size_t> split_side;
  std::set<std::string> committed_commands;
  std::map<base::EvacuationRevision, std::map<base::DataCentreId, Evacuation>> evacuation_states;
  std::map<base::DataCentreId, OrderHistory> order_histories;
  std::string first_evacuation_violation;
  uint64_t next_incarnation = 1;
  uint64_t next_command = 1;
};

}  // namespace sapphirecrank::cluster
