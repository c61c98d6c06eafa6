#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "base/thread_pool.h"
#include "base/time.h"
#include "cluster/cluster_state.h"
#include "cluster/membership_planner.h"
#include "clusterhost/proposal_outcome.h"
#include "consensus/raft_message.h"
#include "consensus/raft_storage.h"
#include "storage/file_system.h"

namespace sapphirecrank::consensus {
class RaftDiskStorage;
class RaftNode;
}  // namespace sapphirecrank::consensus

namespace sapphirecrank::clusterhost {

/// An allocator's part in the group that agrees on the configuration and the view.
///
/// The replicated log runs on one thread of its own, because it waits for synced writes. Thread
/// safety: all methods may be called from any thread; hooks and answers run on the group's thread.
class ClusterGroup {
 public:
  struct Settings {
    base::HostId self;
    base::Incarnation incarnation;
    /// First members of a group that starts for the first time.
    std::vector<base::HostId> seeds;
    /// The whole cluster starts for the first time.
    bool bootstrap = false;
    std::string data_folder;
    storage::FileSystem file_system;
    /// Voters to reach.
    size_t wanted_voter_count = 3;
    /// A voter that is out of reach for this long is replaced if another host can.
    base::Duration voter_replacement_delay = std::chrono::seconds(10);
  };

  /// Behaviour handed in; all members must be set.
  struct Hooks {
    base::Clock now;
    /// Describes a host that is in reach and takes work; none if it isn't.
    std::function<std::optional<cluster::ClusterView::Member>(const base::HostId&)>
        reachable_member;
    std::function<bool(const base::HostId&)> is_host_reachable;
    /// Sends a message to the host that `to` names; it may be lost.
    std::function<void(const consensus::RaftMessage&)> send_raft_message;
    /// Sends a request to join to all allocators in reach.
    std::function<void(const base::HostId& member)> send_join_request;
    std::function<void(const cluster::ConfigurationRecord&, const cluster::ClusterView&)>
        on_state_change;
    /// This host follows another leader, or none if the id is empty.
    std::function<void(const base::HostId& leader)> on_leader_change;
    /// This host leads in this term and holds the lease at this moment.
    std::function<void(base::Term)> on_lease_held;
    // The stored jobs; see `cluster::ClusterState::Hooks`.
    std::function<void(const std::string&)> apply_jobs_command;
    std::function<std::string()> take_jobs_snapshot;
    std::function<void(const std::string&)> restore_jobs_snapshot;
    /// The disk has failed for this reason, or is in use again if the reason is empty.
    std::function<void(const std::string& reason)> on_storage_status;
  };

  using ProposalCallback = std::function<void(ProposalOutcome)>;
  using ReadCallback = std::function<void(std::optional<cluster::ConfigurationRecord>)>;

  ClusterGroup(Settings settings, Hooks hooks);
  ~ClusterGroup();

  /// Opens the stored state. Errors: as `consensus::RaftDiskStorage::Open`. Precondition: called
  /// once, before the other methods.
  base::Result<void> Open();

  void ReceiveRaftMessage(const consensus::RaftMessage& message);
  void OnJoinRequest(const base::HostId& member);

  /// Does what is due by time. To be called several times in 100 ms.
  void Tick();

  /// Puts a configuration in force. The outcome is given once it is agreed, or at the latest after
  /// the time in which the sender turns to another host.
  void PutConfiguration(cluster::ConfigurationRecord record, ProposalCallback on_put);

  /// Changes the stored jobs. The outcome is given as with `Put`. Changes that come while others
  /// are written share the next write.
  void ProposeJobChange(std::string change, ProposalCallback on_put);

  /// Gives the newest configuration once it is certain that none newer was agreed before the call;
  /// nothing if that can't be found out in time.
  void ReadConfiguration(ReadCallback on_read);

  /// Hands leadership to another host, if this one leads, before it leaves.
  void TransferLeadership();

  /// Stops the thread. Later calls do nothing.
  void Stop();

 private:
  struct PendingProposal {
    base::Term term;
    base::TimePoint deadline;
    ProposalCallback callback;
  };
  struct PendingRead {
    base::TimePoint requested_at;
    ReadCallback callback;
  };

  base::Result<std::string> LoadStoreId();
  base::Result<void> OpenNode();
  std::unique_ptr<cluster::ClusterState> MakeState();
  consensus::RaftStorage MonitoredStorage();
  void ReopenStorageIfDue();
  void NotifyStateChange();
  void RunOnThread(std::function<void()> function);
  void FlushAndNotify();
  /// Steps after what is waiting for the thread by now, so that one synced write covers it all.
  void ScheduleFlush();
  bool Propose(const std::string& command, const ProposalCallback& on_put);
  void ApplyEntry(const consensus::LogEntry& entry);
  void UpdateMembership();
  void ExpireProposals();
  void CompleteReads();
  std::vector<cluster::ClusterView::Member> ReachableMembers() const;

  Settings settings;
  Hooks hooks;
  // Only the group's thread uses what follows, once it is open.
  std::string store_id;
  base::HostId member;
  std::unique_ptr<cluster::ClusterState> state;
  cluster::MembershipPlanner planner;
  std::map<base::LogIndex, PendingProposal> pending_proposals;
  bool is_flush_scheduled = false;
  std::vector<PendingRead> pending_reads;
  base::TimePoint next_join_request_at;
  // Told to the hook once all that is committed is applied, and not before a host that has opened
  // its disk again has caught up, so that no older version or view is announced.
  bool has_state_changed = false;
  base::Version announced_version;
  base::Epoch announced_epoch;
  bool has_storage_failed = false;
  base::TimePoint next_reopen_at;
  base::Incarnation incarnation;
  base::HostId leader;
  std::unique_ptr<consensus::RaftDiskStorage> disk;
  std::unique_ptr<consensus::RaftNode> node;
  base::ThreadPool thread;
};

}  // namespace sapphirecrank::clusterhost
