#include "entryhost/view_consensus.h"

#include <random>
#include <utility>

#include "consensus/raft_disk_storage.h"
#include "consensus/raft_node.h"
#include "consensus/raft_status.h"
#include "storage/posix_file_system.h"

namespace sapphirecrank::entryhost {

using base::Duration;
using consensus::LogEntry;

namespace {

Duration RandomDuration(Duration minimum, Duration maximum) {
  thread_local std::mt19937_64 generator{std::random_device()()};
  return Duration(
      std::uniform_int_distribution<Duration::rep>(minimum.count(), maximum.count())(generator));
}

}  // namespace

ViewConsensus::ViewConsensus(Member self, base::DataCentreId data_centre,
                             consensus::RaftMembership configured_membership,
                             membership::ViewLease& view_lease, Hooks hooks)
    : self(std::move(self)),
      data_centre(std::move(data_centre)),
      configured_membership(std::move(configured_membership)),
      view_lease(view_lease),
      hooks(std::move(hooks)),
      view_state_machine({this->hooks.now, this->hooks.reachable_members,
                          [this] { return this->raft_node->HasLeaderLease(); },
                          [this](const std::string& command) {
                            // The state machine repeats a proposal that isn't accepted.
                            (void)this->raft_node->Propose(command);
                          },
                          [this](base::Epoch epoch, const std::vector<Member>& members) {
                            this->OnViewAgreed(epoch, members);
                          }}),
      raft_thread(std::make_unique<base::ThreadPool>("view-group", 1)) {}

ViewConsensus::~ViewConsensus() { this->Stop(); }

base::Result<void> ViewConsensus::OpenStorage(const std::string& data_folder) {
  consensus::RecoveredState recovered;
  recovered.snapshot.membership = this->configured_membership.configured();
  consensus::RaftNode::Hooks node_hooks;
  if (!data_folder.empty()) {
    auto opened_storage =
        consensus::RaftDiskStorage::Open(storage::MakePosixFileSystem(), data_folder + "/view",
                                         this->configured_membership.configured());
    if (!opened_storage) {
      return tl::make_unexpected(opened_storage.error());
    }
    this->raft_storage = std::move(*opened_storage);
    recovered = this->raft_storage->recovered_state();
    node_hooks.storage = this->raft_storage->MakeStorageHooks();
  }
  node_hooks.now = this->hooks.now;
  node_hooks.random_duration = RandomDuration;
  node_hooks.send_message = this->hooks.send_best_effort;
  node_hooks.apply_entry = [this](const LogEntry& entry) {
    if (entry.kind == LogEntry::Kind::kCommand) {
      this->view_state_machine.Apply(entry.command);
    }
  };
  node_hooks.take_snapshot = [this] { return this->view_state_machine.TakeSnapshot(); };
  node_hooks.restore_snapshot = [this](const consensus::RaftSnapshot& snapshot) {
    this->view_state_machine.Restore(snapshot.state);
  };
  this->raft_node = std::make_unique<consensus::RaftNode>(this->self.host, this->self.incarnation,
                                                          consensus::RaftSettings(), recovered,
                                                          std::move(node_hooks));
  return {};
}

void ViewConsensus::OnRaftMessage(const consensus::RaftMessage& message) {
  this->RunOnThread([this, message] {
    this->raft_node->ReceiveMessage(message);
    this->FlushAndConfirmLease();
  });
}

void ViewConsensus::Tick() {
  this->RunOnThread([this] {
    this->raft_node->Tick();
    this->view_state_machine.Tick();
    this->ChangeMembershipIfNeeded();
    this->FlushAndConfirmLease();
    this->ReportMembershipChange();
  });
}

void ViewConsensus::TransferLeadership() {
  this->RunOnThread([this] {
    this->raft_node->TransferLeadership();
    this->FlushAndConfirmLease();
  });
}

void ViewConsensus::Stop() { this->raft_thread.reset(); }

void ViewConsensus::RunOnThread(std::function<void()> function) {
  if (this->raft_thread != nullptr) {
    this->raft_thread->Enqueue(0, std::move(function));
  }
}

void ViewConsensus::ChangeMembershipIfNeeded() {
  if (!this->raft_node->HasLeaderLease()) {
    return;
  }
  const auto change = this->configured_membership.NextChange(
      this->raft_node->Status().membership, [this](const base::HostId& learner) {
        return this->raft_node->CheckPromotion(learner).has_value();
      });
  if (change) {
    // The next tick repeats a change that isn't accepted.
    (void)this->raft_node->ChangeMembership(*change);
  }
}

void ViewConsensus::ReportMembershipChange() {
  const consensus::RaftStatus status = this->raft_node->Status();
  if (status.membership_index <= status.commit_index &&
      this->reported_membership != status.membership) {
    this->reported_membership = status.membership;
    this->hooks.on_membership_committed(status.membership);
  }
}

void ViewConsensus::FlushAndConfirmLease() {
  this->raft_node->Flush();
  const base::TimePoint up_to_date_as_of = this->raft_node->Status().up_to_date_as_of;
  if (this->agreed_epoch != base::Epoch() && up_to_date_as_of != base::TimePoint()) {
    this->view_lease.ConfirmEpoch(this->agreed_epoch, up_to_date_as_of);
  }
}

void ViewConsensus::OnViewAgreed(base::Epoch epoch, const std::vector<Member>& members) {
  this->agreed_epoch = epoch;
  membership::View view;
  view.data_centre = this->data_centre;
  view.epoch = epoch;
  for (const Member& member : members) {
    view.members.push_back(member.host);
  }
  this->view_lease.AdoptView(std::move(view));
  this->hooks.on_view_agreed(epoch, members);
}

}  // namespace sapphirecrank::entryhost
