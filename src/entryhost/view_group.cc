#include "entryhost/view_group.h"

#include <random>
#include <utility>

#include "consensus/raft_disk.h"
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
      first(std::move(first)),
      lease(lease),
      hooks(std::move(hooks)),
      agreement({this->hooks.now, this->hooks.reachable_members,
                 [this] { return this->node->HasLease(); },
                 [this](const std::string& command) {
                   // A proposal that isn't accepted is made again after a while.
                   (void)this->node->Propose(command);
                 },
                 [this](base::Epoch agreed, const std::vector<Member>& members) {
                   this->OnView(agreed, members);
                 }}),
      thread(std::make_unique<base::WorkerPool>("view-group", 1)) {}

ViewConsensus::~ViewConsensus() { this->Stop(); }

base::Result<void> ViewConsensus::Open(const std::string& data_folder) {
  consensus::RecoveredState recovered;
  recovered.snapshot.membership = this->first;
  consensus::RaftNode::Hooks node_hooks;
  if (!data_folder.empty()) {
    auto opened =
        consensus::RaftDisk::Open(storage::PosixFileSystem(), data_folder + "/view", this->first);
    if (!opened) {
      return tl::make_unexpected(opened.error());
    }
    this->disk = std::move(*opened);
    recovered = this->disk->recovered();
    node_hooks.storage = this->disk->Storage();
  }
  node_hooks.now = this->hooks.now;
  node_hooks.random_duration = RandomDuration;
  node_hooks.send = this->hooks.send;
  node_hooks.apply = [this](const LogEntry& entry) {
    if (entry.kind == LogEntry::Kind::kCommand) {
      this->agreement.Apply(entry.command);
    }
  };
  node_hooks.take_snapshot = [this] { return this->agreement.TakeSnapshot(); };
  node_hooks.restore = [this](const consensus::RaftSnapshot& snapshot) {
    this->agreement.Restore(snapshot.state);
  };
  this->node = std::make_unique<consensus::RaftNode>(this->self.host, this->self.incarnation,
                                                     consensus::RaftSettings(), recovered,
                                                     std::move(node_hooks));
  return {};
}

void ViewConsensus::Receive(const consensus::RaftMessage& message) {
  this->Run([this, message] {
    this->node->Receive(message);
    this->Step();
  });
}

void ViewConsensus::Tick() {
  this->Run([this] {
    this->node->Tick();
    this->agreement.Tick();
    this->Step();
  });
}

void ViewConsensus::TransferLeadership() {
  this->Run([this] {
    this->node->TransferLeadership();
    this->Step();
  });
}

void ViewConsensus::Stop() { this->thread.reset(); }

void ViewConsensus::Run(std::function<void()> function) {
  if (this->thread != nullptr) {
    this->thread->Run(0, std::move(function));
  }
}

void ViewConsensus::Step() {
  this->node->Flush();
  const base::TimePoint current_as_of = this->node->Status().current_as_of;
  if (this->epoch != base::Epoch() && current_as_of != base::TimePoint()) {
    this->lease.Confirm(this->epoch, current_as_of);
  }
}

void ViewConsensus::OnView(base::Epoch agreed, const std::vector<Member>& members) {
  this->epoch = agreed;
  membership::View view;
  view.data_centre = this->data_centre;
  view.epoch = agreed;
  for (const Member& member : members) {
    view.members.push_back(member.host);
  }
  this->lease.Learn(std::move(view));
  this->hooks.on_view_agreed(agreed, members);
}

}  // namespace sapphirecrank::entryhost
