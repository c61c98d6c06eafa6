#include "clusterhost/cluster_group.h"

#include <fmt/format.h>

#include <random>
#include <utility>

#include "cluster/member_name.h"
#include "consensus/raft_disk_storage.h"
#include "consensus/raft_node.h"
#include "storage/atomic_file.h"

namespace sapphirecrank::clusterhost {

using base::Duration;
using base::HostId;
using base::TimePoint;
using cluster::ClusterView;
using cluster::MemberName;
using consensus::LogEntry;

namespace {

// Name of the disks with which a cluster starts for the first time: the seeds know each other's
// names in the group by their addresses alone.
constexpr const char* kBootstrapStoreId = "first";
constexpr const char* kStoreIdFile = "store";
constexpr Duration kJoinInterval = std::chrono::seconds(1);
// Pause before a failed disk is tried again.
constexpr Duration kReopenInterval = std::chrono::milliseconds(500);
// Operators turn to another host after a second.
constexpr Duration kResponseTimeout = std::chrono::milliseconds(900);

Duration RandomDuration(Duration low, Duration high) {
  thread_local std::mt19937_64 generator{std::random_device()()};
  return Duration(
      std::uniform_int_distribution<Duration::rep>(low.count(), high.count())(generator));
}

}  // namespace

ClusterGroup::ClusterGroup(Settings settings, Hooks hooks)
    : settings(std::move(settings)),
      hooks(std::move(hooks)),
      planner(this->settings.wanted_voter_count, this->settings.voter_replacement_delay),
      incarnation(this->settings.incarnation),
      thread("cluster-group", 1) {}

ClusterGroup::~ClusterGroup() { this->Stop(); }

std::unique_ptr<cluster::ClusterState> ClusterGroup::MakeState() {
  cluster::ClusterState::Hooks state_hooks;
  state_hooks.now = this->hooks.now;
  state_hooks.reachable_members = [this] { return this->ReachableMembers(); };
  state_hooks.is_leader = [this] { return this->node->HasLeaderLease(); };
  state_hooks.propose_command = [this](const std::string& command) {
    // A proposal that isn't accepted is made again after a while.
    (void)this->node->Propose(command);
  };
  state_hooks.on_state_change = [this] { this->has_state_changed = true; };
  state_hooks.apply_jobs_command = this->hooks.apply_jobs_command;
  state_hooks.take_jobs_snapshot = this->hooks.take_jobs_snapshot;
  state_hooks.restore_jobs_snapshot = this->hooks.restore_jobs_snapshot;
  return std::make_unique<cluster::ClusterState>(std::move(state_hooks));
}

base::Result<std::string> ClusterGroup::LoadStoreId() {
  storage::AtomicFile file(this->settings.file_system, this->settings.data_folder, kStoreIdFile);
  auto stored = file.Load();
  if (!stored) {
    return tl::make_unexpected(stored.error());
  }
  if (*stored) {
    return **stored;
  }
  std::string name = kBootstrapStoreId;
  if (!this->settings.bootstrap) {
    std::random_device device;
    name = fmt::format("{:08x}{:08x}", device(), device());
  }
  const auto saved = file.Save(name);
  if (!saved) {
    return tl::make_unexpected(saved.error());
  }
  return name;
}

base::Result<void> ClusterGroup::Open() {
  const auto loaded = this->LoadStoreId();
  if (!loaded) {
    return tl::make_unexpected(loaded.error());
  }
  this->store_id = *loaded;
  this->member = MemberName::Format(this->settings.self, this->store_id);
  return this->OpenNode();
}

base::Result<void> ClusterGroup::OpenNode() {
  consensus::RaftMembership first;
  if (this->store_id == kBootstrapStoreId) {
    for (const HostId& seed : this->settings.seeds) {
      first.voters.insert(MemberName::Format(seed, kBootstrapStoreId));
    }
  }
  auto opened = consensus::RaftDiskStorage::Open(this->settings.file_system,
                                                 this->settings.data_folder + "/group", first);
  if (!opened) {
    return tl::make_unexpected(opened.error());
  }
  this->state = this->MakeState();
  this->hooks.restore_jobs_snapshot("");
  this->node.reset();
  this->disk = std::move(*opened);
  consensus::RaftNode::Hooks node_hooks;
  node_hooks.now = this->hooks.now;
  node_hooks.random_duration = RandomDuration;
  node_hooks.send_message = this->hooks.send_raft_message;
  node_hooks.storage = this->MonitoredStorage();
  node_hooks.apply_entry = [this](const LogEntry& entry) { this->ApplyEntry(entry); };
  node_hooks.take_snapshot = [this] { return this->state->TakeSnapshot(); };
  node_hooks.restore_snapshot = [this](const consensus::RaftSnapshot& snapshot) {
    this->state->Restore(snapshot.state);
  };
  this->node = std::make_unique<consensus::RaftNode>(
      this->member, this->incarnation, consensus::RaftSettings(), this->disk->recovered_state(),
      std::move(node_hooks));
  return {};
}

consensus::RaftStorage ClusterGroup::MonitoredStorage() {
  const auto watch = [this](base::Result<void> outcome) {
    if (!outcome && !std::exchange(this->has_storage_failed, true)) {
      this->next_reopen_at = this->hooks.now() + kReopenInterval;
      this->hooks.on_storage_status(outcome.error().message);
    }
    return outcome;
  };
  consensus::RaftStorage hooks = this->disk->MakeStorageHooks();
  hooks.append_entries = [watch, append = hooks.append_entries](const auto& hard_state,
                                                                const auto& entries) {
    return watch(append(hard_state, entries));
  };
  hooks.save_snapshot = [watch, save = hooks.save_snapshot](
                            const auto& snapshot, const auto& hard_state, const auto& entries) {
    return watch(save(snapshot, hard_state, entries));
  };
  return hooks;
}

/// Starts again from what the disk holds, as after a restart of the process. Without this a host
/// whose disk was full for a moment would have no vote until it is restarted.
void ClusterGroup::ReopenStorageIfDue() {
  const TimePoint now = this->hooks.now();
  if (!this->has_storage_failed || now < this->next_reopen_at) {
    return;
  }
  this->next_reopen_at = now + kReopenInterval;
  storage::AtomicFile file(this->settings.file_system, this->settings.data_folder, kStoreIdFile);
  if (!file.Save(this->store_id)) {
    return;  // The disk takes no writes yet.
  }
  this->incarnation = base::Incarnation(this->incarnation.value() + 1);
  const auto opened = this->OpenNode();
  if (!opened) {
    this->hooks.on_storage_status(opened.error().message);
    return;
  }
  this->has_storage_failed = false;
  for (auto& [index, put] : std::exchange(this->pending_proposals, {})) {
    put.callback(ProposalOutcome::kUnknown);
  }
  this->hooks.on_storage_status("");
}

void ClusterGroup::ReceiveRaftMessage(const consensus::RaftMessage& message) {
  this->RunOnThread([this, message] {
    this->node->ReceiveMessage(message);
    this->ScheduleFlush();
  });
}

void ClusterGroup::OnJoinRequest(const HostId& joining) {
  this->RunOnThread([this, joining] { this->planner.OnJoinRequest(joining, this->hooks.now()); });
}

void ClusterGroup::Tick() {
  this->RunOnThread([this] {
    this->ReopenStorageIfDue();
    this->node->Tick();
    this->state->Tick();
    this->UpdateMembership();
    this->FlushAndNotify();
    if (this->node->HasLeaderLease()) {
      this->hooks.on_lease_held(this->node->Status().term);
    }
    this->ExpireProposals();
    this->CompleteReads();
  });
}

void ClusterGroup::PutConfiguration(cluster::ConfigurationRecord record, ProposalCallback on_put) {
  this->RunOnThread([this, record = std::move(record), on_put = std::move(on_put)] {
    if (record.version <= this->state->configuration().version) {
      on_put(ProposalOutcome::kCommitted);
      return;
    }
    if (this->Propose(cluster::ClusterState::EncodeConfigurationCommand(record), on_put)) {
      this->FlushAndNotify();
    }
  });
}

bool ClusterGroup::Propose(const std::string& command, const ProposalCallback& on_put) {
  const auto index = this->node->Propose(command);
  if (!index) {
    on_put(this->leader.empty() ? ProposalOutcome::kUnknown : ProposalOutcome::kNotLeader);
    return false;
  }
  this->pending_proposals[*index] = {this->node->Status().term,
                                     this->hooks.now() + kResponseTimeout, on_put};
  return true;
}

void ClusterGroup::ProposeJobChange(std::string change, ProposalCallback on_put) {
  this->RunOnThread([this, change = std::move(change), on_put = std::move(on_put)] {
    if (this->Propose(cluster::ClusterState::EncodeJobsCommand(change), on_put)) {
      this->ScheduleFlush();
    }
  });
}

void ClusterGroup::ScheduleFlush() {
  if (std::exchange(this->is_flush_scheduled, true)) {
    return;
  }
  this->RunOnThread([this] {
    this->is_flush_scheduled = false;
    this->FlushAndNotify();
  });
}

void ClusterGroup::ReadConfiguration(ReadCallback on_read) {
  this->RunOnThread([this, on_read = std::move(on_read)] {
    this->pending_reads.push_back({this->hooks.now(), on_read});
  });
}

void ClusterGroup::TransferLeadership() {
  this->RunOnThread([this] {
    this->node->TransferLeadership();
    this->FlushAndNotify();
  });
}

void ClusterGroup::Stop() { this->thread.Stop(); }

void ClusterGroup::RunOnThread(std::function<void()> function) {
  this->thread.Enqueue(0, std::move(function));
}

void ClusterGroup::FlushAndNotify() {
  this->node->Flush();
  this->NotifyStateChange();
  const HostId now_leading = MemberName::ParseHost(this->node->Status().leader);
  if (now_leading != this->leader) {
    this->leader = now_leading;
    this->hooks.on_leader_change(this->leader);
  }
}

void ClusterGroup::NotifyStateChange() {
  const base::Version version = this->state->configuration().version;
  const base::Epoch epoch = this->state->view().epoch;
  if (!this->has_state_changed || version < this->announced_version ||
      epoch < this->announced_epoch) {
    return;
  }
  this->has_state_changed = false;
  this->announced_version = version;
  this->announced_epoch = epoch;
  this->hooks.on_state_change(this->state->configuration(), this->state->view());
}

void ClusterGroup::ApplyEntry(const LogEntry& entry) {
  if (entry.kind == LogEntry::Kind::kCommand) {
    this->state->Apply(entry.command);
  }
  auto put = this->pending_proposals.find(entry.index);
  if (put == this->pending_proposals.end()) {
    return;
  }
  // Another term at this index means that another leader replaced the entry.
  put->second.callback(put->second.term == entry.term ? ProposalOutcome::kCommitted
                                                      : ProposalOutcome::kUnknown);
  this->pending_proposals.erase(put);
}

void ClusterGroup::UpdateMembership() {
  const consensus::RaftStatus status = this->node->Status();
  const bool is_member = status.membership.voters.count(this->member) > 0 ||
                         status.membership.learners.count(this->member) > 0;
  const TimePoint now = this->hooks.now();
  if (!is_member && now >= this->next_join_request_at) {
    this->next_join_request_at = now + kJoinInterval;
    this->hooks.send_join_request(this->member);
  }
  if (!this->node->HasLeaderLease()) {
    return;
  }
  const auto change =
      this->planner.NextChange(status.membership, now, this->hooks.is_host_reachable);
  if (change) {
    // A step that can't be taken yet is planned again at the next tick.
    (void)this->node->ChangeMembership(*change);
  }
}

void ClusterGroup::ExpireProposals() {
  const TimePoint now = this->hooks.now();
  for (auto put = this->pending_proposals.begin(); put != this->pending_proposals.end();) {
    if (now < put->second.deadline) {
      ++put;
      continue;
    }
    put->second.callback(ProposalOutcome::kUnknown);
    put = this->pending_proposals.erase(put);
  }
}

void ClusterGroup::CompleteReads() {
  const TimePoint now = this->hooks.now();
  const TimePoint current = this->node->Status().up_to_date_as_of;
  std::vector<PendingRead> waiting;
  for (PendingRead& read : this->pending_reads) {
    if (current >= read.requested_at && this->state->configuration().version != base::Version()) {
      read.callback(this->state->configuration());
    } else if (now - read.requested_at >= kResponseTimeout) {
      read.callback(std::nullopt);
    } else {
      waiting.push_back(std::move(read));
    }
  }
  this->pending_reads = std::move(waiting);
}

std::vector<ClusterView::Member> ClusterGroup::ReachableMembers() const {
  const consensus::RaftMembership membership = this->node->Status().membership;
  std::vector<ClusterView::Member> live;
  const auto add = [this, &live](const HostId& name) {
    auto found = this->hooks.reachable_member(MemberName::ParseHost(name));
    if (found) {
      live.push_back(std::move(*found));
    }
  };
  for (const HostId& voter : membership.voters) {
    add(voter);
  }
  for (const HostId& learner : membership.learners) {
    add(learner);
  }
  return live;
}

}  // namespace sapphirecrank::clusterhost
