#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "base/thread_pool.h"
#include "base/time.h"
#include "consensus/raft_membership.h"
#include "consensus/raft_message.h"
#include "entryhost/configured_membership.h"
#include "membership/view_lease.h"
#include "membership/view_state_machine.h"

namespace sapphirecrank::consensus {
class RaftDiskStorage;
class RaftNode;
}  // namespace sapphirecrank::consensus

namespace sapphirecrank::entryhost {

/// This host's replica of the consensus group that agrees on the views of its data centre.
///
/// The replicated log runs on a thread of its own, because it waits for synced writes. Thread
/// safety: all methods may be called from any thread, except as noted at `Stop`; hooks run on the
/// replica's thread.
class ViewConsensus {
 public:
  using Member = membership::ViewStateMachine::Member;

  /// Functions that this class calls. All members must be set.
  struct Hooks {
    base::Clock now;
    /// Returns the processes that this host reaches, including itself.
    std::function<std::vector<Member>()> reachable_members;
    /// Sends a message that may be lost.
    std::function<void(const consensus::RaftMessage&)> send_best_effort;
    /// Called with each agreed view in the order of epochs, after the view lease has adopted it.
    std::function<void(base::Epoch, const std::vector<Member>&)> on_view_agreed;
    /// Called with the members of the group at the start and whenever a change of them is
    /// committed.
    std::function<void(const consensus::RaftMembership&)> on_membership_committed;
  };

  /// `configured_membership` is the group's membership when it starts for the first time. If it
  /// differs from the stored one later, the group's leader changes the members to it.
  /// Precondition: `view_lease` outlives this object.
  ViewConsensus(Member self, base::DataCentreId data_centre,
                consensus::RaftMembership configured_membership, membership::ViewLease& view_lease,
                Hooks hooks);
  ~ViewConsensus();

  /// Recovers the stored Raft state; `data_folder` is empty for a host without a disk. Errors: as
  /// `consensus::RaftDiskStorage::Open`. Precondition: called once, before the other methods.
  base::Result<void> OpenStorage(const std::string& data_folder);

  /// Handles a Raft message from another host of the group.
  void OnRaftMessage(const consensus::RaftMessage& message);

  /// Handles timeouts of Raft and of the view state machine. To be called several times in 100 ms.
  void Tick();

  /// Transfers leadership to another host if this one leads. To be called before this host leaves.
  void TransferLeadership();

  /// Stops the replica's thread. Later calls do nothing. Must not be called at the same time as
  /// another method.
  void Stop();

 private:
  void RunOnThread(std::function<void()> function);
  void ChangeMembershipIfNeeded();
  void ReportMembershipChange();
  void FlushAndConfirmLease();
  void OnViewAgreed(base::Epoch epoch, const std::vector<Member>& members);

  Member self;
  base::DataCentreId data_centre;
  ConfiguredMembership configured_membership;
  membership::ViewLease& view_lease;
  Hooks hooks;
  // After `OpenStorage` only the replica's thread uses the members from here to `raft_node`.
  base::Epoch agreed_epoch;
  std::optional<consensus::RaftMembership> reported_membership;
  membership::ViewStateMachine view_state_machine;
  std::unique_ptr<consensus::RaftDiskStorage> raft_storage;
  std::unique_ptr<consensus::RaftNode> raft_node;
  std::unique_ptr<base::ThreadPool> raft_thread;
};

}  // namespace sapphirecrank::entryhost
