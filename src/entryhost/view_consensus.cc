#include "entryhost/view_consensus.h"

#include <random>
#include <utility>

#include "consensus/raft_disk_storage.h"
#include "consensus/raft_node.h"
#include "storage/posix_file_system.h"

namespace sapphirecrank::entryhost {

using base::Duration;
using consensus::LogEntry;

namespace {

Duration RandomDuration(Duration low, Duration high) {
  thread_local std::mt19937_64 generator{std::random_device()()};
  return Duration(
      std::uniform_int_distribution<Duration::rep>(low.count(), high.count())(generator));
}

}  // namespace

ViewConsensus::ViewConsensus(Member self, base::DataCentreId data_centre,
                             consensus::RaftMembership first, membership::ViewLease& lease,
                             Hooks hooks)
    : self(std::move(self)),
      data_centre(std::move(data_centre)),
      initial_membership(std::move(first)),
      view_lease(lease),
      hooks(std::move(hooks)),
      view_state_machine({this->hooks.now, this->hooks.reachable_members,
                          [this] { return this->raft_node->HasLeaderLease(); },
                          [this](const std::string& command) {
                            // A proposal that isn't accepted is made again after a while.
                            (void)this->raft_node->Propose(command);
                          },
                          [this](base::Epoch agreed, const std::vector<Member>& members) {
                            this->OnViewAgreed(agreed, members);
                          }}),
      thread(std::make_unique<base::ThreadPool>("view-group", 1)) {}

ViewConsensus::~ViewConsensus() { this->Stop(); }

base::Result<void> ViewConsensus::OpenStorage(const std::string& data_folder) {
  consensus::RecoveredState recovered;
  recovered.snapshot.membership = this->initial_membership;
  consensus::RaftNode::Hooks node_hooks;
  if (!data_folder.empty()) {
    auto opened = consensus::RaftDiskStorage::Open(storage::MakePosixFileSystem(),
                                                   data_folder + "/view", this->initial_membership);
    if (!opened) {
      return tl::make_unexpected(opened.error());
    }
    this->raft_storage = std::move(*opened);
    recovered = this->raft_storage->recovered_state();
    node_hooks.storage = this->raft_storage->MakeStorageHooks();
  }
  node_hooks.now = this->hooks.now;
  node_hooks.random_duration = RandomDuration;
  node_hooks.send_message = this->hooks.send;
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
    this->FlushAndConfirmLease();
  });
}

void ViewConsensus::TransferLeadership() {
  this->RunOnThread([this] {
    this->raft_node->TransferLeadership();
    this->FlushAndConfirmLease();
  });
}

void ViewConsensus::Stop() { this->thread.reset(); }

void ViewConsensus::RunOnThread(std::function<void()> function) {
  if (this->thread != nullptr) {
    this->thread->Enqueue(0, std::move(function));
  }
}

void ViewConsensus::FlushAndConfirmLease() {
  this->raft_node->Flush();
  const base::TimePoint current_as_of = this->raft_node->Status().up_to_date_as_of;
  if (this->agreed_epoch != base::Epoch() && current_as_of != base::TimePoint()) {
    this->view_lease.ConfirmEpoch(this->agreed_epoch, current_as_of);
  }
}

void ViewConsensus::OnViewAgreed(base::Epoch agreed, const std::vector<Member>& members) {
  this->agreed_epoch = agreed;
  membership::View view;
  view.data_centre = this->data_centre;
  view.epoch = agreed;
  for (const Member& member : members) {
    view.members.push_back(member.host);
  }
  this->view_lease.AdoptView(std::move(view));
  this->hooks.on_view_agreed(agreed, members);
}

}  // namespace sapphirecrank::entryhost
