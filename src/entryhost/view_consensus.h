#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "base/thread_pool.h"
#include "base/time.h"
#include "consensus/raft_membership.h"
#include "consensus/raft_message.h"
#include "membership/view_lease.h"
#include "membership/view_state_machine.h"

namespace sapphirecrank::consensus {
class RaftDiskStorage;
class RaftNode;
}  // namespace sapphirecrank::consensus

namespace sapphirecrank::entryhost {

/// This host's part in the group that agrees on the views of its data centre.
///
/// The replicated log runs on one thread of its own, because it waits for synced writes. Thread
/// safety: all methods may be called from any thread; hooks run on the group's thread.
class ViewConsensus {
 public:
  using Member = membership::ViewStateMachine::Member;

  /// Behaviour handed in; all members must be set.
  struct Hooks {
    base::Clock now;
    /// Processes that this host reaches, itself among them.
    std::function<std::vector<Member>()> reachable_members;
    /// Sends a message, which may be lost.
    std::function<void(const consensus::RaftMessage&)> send;
    /// Called with each agreed view in turn, after `lease` has learned it.
    std::function<void(base::Epoch, const std::vector<Member>&)> on_view_agreed;
  };

  /// `first` is the group's membership when it starts for the first time. Precondition: `lease`
  /// outlives this object.
  ViewConsensus(Member self, base::DataCentreId data_centre, consensus::RaftMembership first,
                membership::ViewLease& lease, Hooks hooks);
  ~ViewConsensus();

  /// Opens the stored state; `data_folder` is empty for a host without a disk. Errors: as
  /// `consensus::RaftDiskStorage::Open`. Precondition: called once, before the other methods.
  base::Result<void> OpenStorage(const std::string& data_folder);

  /// Takes a message of another host of the group.
  void OnRaftMessage(const consensus::RaftMessage& message);

  /// Does what is due by time. To be called several times in 100 ms.
  void Tick();

  /// Hands leadership to another host, if this one leads, before it leaves.
  void TransferLeadership();

  /// Stops the thread. Later calls do nothing.
  void Stop();

 private:
  void RunOnThread(std::function<void()> function);
  void FlushAndConfirmLease();
  void OnViewAgreed(base::Epoch epoch, const std::vector<Member>& members);

  Member self;
  base::DataCentreId data_centre;
  consensus::RaftMembership initial_membership;
  membership::ViewLease& view_lease;
  Hooks hooks;
  // Only the group's thread uses what follows, once it is open.
  base::Epoch agreed_epoch;
  membership::ViewStateMachine view_state_machine;
  std::unique_ptr<consensus::RaftDiskStorage> raft_storage;
  std::unique_ptr<consensus::RaftNode> raft_node;
  std::unique_ptr<base::ThreadPool> thread;
};

}  // namespace sapphirecrank::entryhost
