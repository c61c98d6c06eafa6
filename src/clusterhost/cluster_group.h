#pragma once

#include <atomic>
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
#include "cluster/evacuation_order.h"
#include "cluster/group_membership.h"
#include "clusterhost/proposal_outcome.h"
#include "consensus/raft_message.h"
#include "consensus/raft_storage.h"
#include "storage/file_system.h"

namespace sapphirecrank::consensus {
class RaftDiskStorage;
class RaftNode;
struct RaftStatus;
}  // namespace sapphirecrank::consensus

namespace sapphirecrank::clusterhost {

/// An allocator's member of the Raft group that replicates the configuration, the cluster view, the
/// evacuated data centres and the stored jobs.
///
/// The replicated log runs on one thread of its own, because it waits for synced writes. Thread
/// safety: all methods may be called from any thread; hooks and callbacks run on the group's
/// thread, and during `Open` on the caller's.
class ClusterGroup {
 public:
  struct Settings {
    base::HostId self;
    base::Incarnation incarnation;
    /// Initial voters of a new group.
    std::vector<base::HostId> seeds;
    /// Set when the whole cluster starts for the first time.
    bool bootstrap = false;
    std::string data_folder;
    storage::FileSystem file_system;
    cluster::GroupMembership::Settings membership;
  };

  /// Callbacks into the owner; all members must be set.
  struct Hooks {
    base::Clock now;
    /// Returns the member entry of a host that is reachable and takes work, or none.
    std::function<std::optional<cluster::ClusterView::Member>(const base::HostId&)>
        reachable_member;
    std::function<bool(const base::HostId&)> is_host_reachable;
    /// Tells whether a host, which may be this one, is stopping.
    std::function<bool(const base::HostId&)> is_host_leaving;
    /// Returns an empty id if the host's data centre isn't known.
    std::function<base::DataCentreId(const base::HostId&)> host_data_centre;
    /// Sends a message to the host in its `to` field; it may be lost.
    std::function<void(const consensus::RaftMessage&)> send_raft_message;
    /// Sends a request to join to all reachable allocators.
    std::function<void(const base::HostId& member)> send_join_request;
    /// The committed configuration, view or evacuations have changed.
    std::function<void(const cluster::ConfigurationRecord&, const cluster::ClusterView&,
                       const cluster::EvacuationState&)>
        on_state_change;
    /// The known leader has changed; the id is empty if none is known.
    std::function<void(const base::HostId& leader)> on_leader_change;
    /// This host leads in this term and holds the leader lease now. Called on each tick while it
    /// does.
    std::function<void(base::Term)> on_lease_held;
    // State machine of the stored jobs; see `cluster::ClusterState::Hooks`.
    std::function<void(const std::string&)> apply_jobs_command;
    std::function<std::string()> take_jobs_snapshot;
    std::function<void(const std::string&)> restore_jobs_snapshot;
    /// The state of the group as this host knows it; called on each tick. The id is this host's
    /// name in the group.
    std::function<void(const base::HostId& member, const consensus::RaftStatus&)> on_status;
    /// This host has proposed a membership change as leader.
    std::function<void(const cluster::PlannedChange&)> on_membership_change;
    /// A learner that should become a voter can't for this reason.
    std::function<void(const base::HostId& learner, const std::string& reason)>
        on_promotion_delayed;
    /// The disk has failed for this reason, or was reopened if the reason is empty.
    std::function<void(const std::string& reason)> on_storage_status;
  };

  using ProposalCallback = std::function<void(ProposalOutcome)>;
  using ReadCallback = std::function<void(const base::Result<cluster::ConfigurationRecord>&)>;

  ClusterGroup(Settings settings, Hooks hooks);
  ~ClusterGroup();

  /// Opens the stored state. Errors: as `consensus::RaftDiskStorage::Open`. Precondition: called
  /// once, before the other methods.
  base::Result<void> Open();

  /// Handles a message from another member of the group.
  void ReceiveRaftMessage(const consensus::RaftMessage& message);

  /// Handles the request of another host's group member to join.
  void OnJoinRequest(const base::HostId& joining_member);

  /// Runs timers, expires proposals and completes reads. To be called several times per 100 ms.
  void Tick();

  /// Proposes a configuration. `callback` gets `kCommitted` once this or a higher version is
  /// committed, `kNotLeader` if another host is known to lead, and otherwise `kUnknown` after 900
  /// ms at the latest, before the operator tries another host.
  void PutConfiguration(cluster::ConfigurationRecord record, ProposalCallback callback);

  /// Proposes an order to start or to finish the evacuation of a data centre. `callback` gets
  /// `kCommitted` only once the order's own entry is committed, also if the order changes nothing,
  /// so that it is in force after all earlier ones; otherwise as in `PutConfiguration`. An order
  /// that had to wait for that long is not proposed, because its operator has given it up and may
  /// have sent the opposite one to another host.
  void ProposeEvacuation(cluster::EvacuationOrder order, ProposalCallback callback);

  /// Proposes a change of the stored jobs; `callback` as in `PutConfiguration`. Changes that arrive
  /// during a write share the next one.
  void ProposeJobChange(std::string change, ProposalCallback callback);

  /// Linearizable read: `callback` gets the newest configuration once it is certain that no newer
  /// one was committed before the call, or the error `kUnavailable` with the reason if that isn't
  /// certain after 900 ms.
  void ReadConfiguration(ReadCallback callback);

  /// Transfers leadership to another host if this one leads. To be called before this host stops.
  void TransferLeadership();

  /// Tells whether this host has a vote that a learner can take over, as of the last tick.
  bool IsVoteHandoverPending() const { return this->is_vote_handover_pending; }

  /// Stops the thread. Later calls do nothing, and pending callbacks may never be called.
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
  cluster::GroupMembership::Hooks MembershipHooks() const;
  std::unique_ptr<cluster::ClusterState> MakeState();
  consensus::RaftStorage MonitoredStorage();
  void ReopenStorageIfDue();
  void NotifyStateChange();
  void RunOnThread(std::function<void()> function);
  void FlushAndNotify();
  /// Enqueues `FlushAndNotify` behind what is already queued for the thread, so that one synced
  /// write covers all of it.
  void ScheduleFlush();
  bool Propose(const std::string& command, const ProposalCallback& callback);
  void ApplyEntry(const consensus::LogEntry& entry);
  void ExpireProposals();
  void CompleteReads();
  std::string UnreadableReason() const;
  std::vector<cluster::ClusterView::Member> ReachableMembers() const;

  Settings settings;
  Hooks hooks;
  // After `Open`, only the group's thread uses the members below.
  std::string store_id;
  base::HostId member;
  std::unique_ptr<cluster::ClusterState> state;
  cluster::GroupMembership group_membership;
  std::map<base::LogIndex, PendingProposal> pending_proposals;
  bool is_flush_scheduled = false;
  std::vector<PendingRead> pending_reads;
  // `on_state_change` is called once all committed entries are applied. After the disk was reopened
  // it isn't called before the state has caught up with the announced version, epoch and revision,
  // so that nothing older is announced.
  bool has_state_changed = false;
  base::Version announced_version;
  base::Epoch announced_epoch;
  base::EvacuationRevision announced_revision;
  bool has_storage_failed = false;
  base::TimePoint next_reopen_at;
  base::Incarnation incarnation;
  base::HostId leader;
  std::unique_ptr<consensus::RaftDiskStorage> disk;
  std::unique_ptr<consensus::RaftNode> node;
  std::atomic<bool> is_vote_handover_pending{false};
  base::ThreadPool thread;
};

}  // namespace sapphirecrank::clusterhost
