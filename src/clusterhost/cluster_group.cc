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

// Id of the disks of a new cluster. It is the same on all seeds, so that they can derive each
// other's member names from the addresses alone.
constexpr const char* kBootstrapStoreId = "first";
constexpr const char* kStoreIdFile = "store";
// Delay before a failed disk is reopened.
constexpr Duration kReopenInterval = std::chrono::milliseconds(500);
// Operators try another host after 1 s.
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
      group_membership(this->settings.membership, this->MembershipHooks()),
      incarnation(this->settings.incarnation),
      thread("cluster-group", 1) {}

ClusterGroup::~ClusterGroup() { this->Stop(); }

cluster::GroupMembership::Hooks ClusterGroup::MembershipHooks() const {
  cluster::GroupMembership::Hooks membership_hooks;
  membership_hooks.now = this->hooks.now;
  membership_hooks.is_host_reachable = this->hooks.is_host_reachable;
  membership_hooks.is_host_leaving = this->hooks.is_host_leaving;
  membership_hooks.host_data_centre = this->hooks.host_data_centre;
  membership_hooks.send_join_request = this->hooks.send_join_request;
  membership_hooks.on_membership_change = this->hooks.on_membership_change;
  membership_hooks.on_promotion_delayed = this->hooks.on_promotion_delayed;
  return membership_hooks;
}

std::unique_ptr<cluster::ClusterState> ClusterGroup::MakeState() {
  cluster::ClusterState::Hooks state_hooks;
  state_hooks.now = this->hooks.now;
  state_hooks.reachable_members = [this] { return this->ReachableMembers(); };
  state_hooks.is_leader = [this] { return this->node->HasLeaderLease(); };
  state_hooks.propose_command = [this](const std::string& command) {
    // The state machine repeats a proposal that wasn't accepted.
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
  std::string new_id = kBootstrapStoreId;
  if (!this->settings.bootstrap) {
    std::random_device random_device;
    new_id = fmt::format("{:08x}{:08x}", random_device(), random_device());
  }
  const auto saved = file.Save(new_id);
  if (!saved) {
    return tl::make_unexpected(saved.error());
  }
  return new_id;
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
  consensus::RaftMembership initial_membership;
  if (this->store_id == kBootstrapStoreId) {
    for (const HostId& seed : this->settings.seeds) {
      initial_membership.voters.insert(MemberName::Format(seed, kBootstrapStoreId));
    }
  }
  auto opened = consensus::RaftDiskStorage::Open(
      this->settings.file_system, this->settings.data_folder + "/group", initial_membership);
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
  const auto report_failure = [this](base::Result<void> result) {
    if (!result && !std::exchange(this->has_storage_failed, true)) {
      this->next_reopen_at = this->hooks.now() + kReopenInterval;
      this->hooks.on_storage_status(result.error().message);
    }
    return result;
  };
  consensus::RaftStorage hooks = this->disk->MakeStorageHooks();
  hooks.append_entries = [report_failure, append = hooks.append_entries](const auto& hard_state,
                                                                         const auto& entries) {
    return report_failure(append(hard_state, entries));
  };
  hooks.save_snapshot = [report_failure, save = hooks.save_snapshot](
                            const auto& snapshot, const auto& hard_state, const auto& entries) {
    return report_failure(save(snapshot, hard_state, entries));
  };
  return hooks;
}

/// Reopens a failed disk and recovers the state from it, as after a restart of the process. Without
/// this, a host whose disk was full for a moment couldn't vote until it was restarted.
void ClusterGroup::ReopenStorageIfDue() {
  const TimePoint now = this->hooks.now();
  if (!this->has_storage_failed || now < this->next_reopen_at) {
    return;
  }
  this->next_reopen_at = now + kReopenInterval;
  storage::AtomicFile file(this->settings.file_system, this->settings.data_folder, kStoreIdFile);
  if (!file.Save(this->store_id)) {
    return;  // Writes still fail.
  }
  this->incarnation = base::Incarnation(this->incarnation.value() + 1);
  const auto opened = this->OpenNode();
  if (!opened) {
    this->hooks.on_storage_status(opened.error().message);
    return;
  }
  this->has_storage_failed = false;
  for (auto& [index, proposal] : std::exchange(this->pending_proposals, {})) {
    proposal.callback(ProposalOutcome::kUnknown);
  }
  this->hooks.on_storage_status("");
}

void ClusterGroup::ReceiveRaftMessage(const consensus::RaftMessage& message) {
  this->RunOnThread([this, message] {
    this->node->ReceiveMessage(message);
    this->ScheduleFlush();
  });
}

void ClusterGroup::OnJoinRequest(const HostId& joining_member) {
  this->RunOnThread(
      [this, joining_member] { this->group_membership.OnJoinRequest(joining_member); });
}

void ClusterGroup::Tick() {
  this->RunOnThread([this] {
    this->ReopenStorageIfDue();
    this->node->Tick();
    this->state->Tick();
    this->group_membership.Tick(this->member, *this->node);
    this->is_vote_handover_pending = this->group_membership.is_vote_handover_pending();
    this->FlushAndNotify();
    if (this->node->HasLeaderLease()) {
      this->hooks.on_lease_held(this->node->Status().term);
    }
    this->ExpireProposals();
    this->CompleteReads();
    this->hooks.on_status(this->member, this->node->Status());
  });
}

void ClusterGroup::PutConfiguration(cluster::ConfigurationRecord record,
                                    ProposalCallback callback) {
  this->RunOnThread([this, record = std::move(record), callback = std::move(callback)] {
    if (record.version <= this->state->configuration().version) {
      callback(ProposalOutcome::kCommitted);
      return;
    }
    if (this->Propose(cluster::ClusterState::EncodeConfigurationCommand(record), callback)) {
      this->FlushAndNotify();
    }
  });
}

bool ClusterGroup::Propose(const std::string& command, const ProposalCallback& callback) {
  const auto index = this->node->Propose(command);
  if (!index) {
    callback(this->leader.empty() ? ProposalOutcome::kUnknown : ProposalOutcome::kNotLeader);
    return false;
  }
  this->pending_proposals[*index] = {this->node->Status().term,
                                     this->hooks.now() + kResponseTimeout, callback};
  return true;
}

void ClusterGroup::ProposeEvacuation(cluster::EvacuationOrder order, ProposalCallback callback) {
  this->RunOnThread([this, order = std::move(order), callback = std::move(callback),
                     requested_at = this->hooks.now()] {
    if (this->hooks.now() - requested_at >= kResponseTimeout) {
      callback(ProposalOutcome::kUnknown);
    } else if (this->Propose(cluster::ClusterState::EncodeEvacuationCommand(order), callback)) {
      this->FlushAndNotify();
    }
  });
}

void ClusterGroup::ProposeJobChange(std::string change, ProposalCallback callback) {
  this->RunOnThread([this, change = std::move(change), callback = std::move(callback)] {
    if (this->Propose(cluster::ClusterState::EncodeJobsCommand(change), callback)) {
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

void ClusterGroup::ReadConfiguration(ReadCallback callback) {
  this->RunOnThread([this, callback = std::move(callback)] {
    this->pending_reads.push_back({this->hooks.now(), callback});
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
  const HostId new_leader = MemberName::ParseHost(this->node->Status().leader);
  if (new_leader != this->leader) {
    this->leader = new_leader;
    this->hooks.on_leader_change(this->leader);
  }
}

void ClusterGroup::NotifyStateChange() {
  const base::Version version = this->state->configuration().version;
  const base::Epoch epoch = this->state->view().epoch;
  const base::EvacuationRevision revision = this->state->evacuations().revision();
  if (!this->has_state_changed || version < this->announced_version ||
      epoch < this->announced_epoch || revision < this->announced_revision) {
    return;
  }
  this->has_state_changed = false;
  this->announced_version = version;
  this->announced_epoch = epoch;
  this->announced_revision = revision;
  this->hooks.on_state_change(this->state->configuration(), this->state->view(),
                              this->state->evacuations());
}

void ClusterGroup::ApplyEntry(const LogEntry& entry) {
  if (entry.kind == LogEntry::Kind::kCommand) {
    this->state->Apply(entry.command);
  }
  auto proposal = this->pending_proposals.find(entry.index);
  if (proposal == this->pending_proposals.end()) {
    return;
  }
  // Another term at this index means that another leader has overwritten the proposed entry.
  proposal->second.callback(proposal->second.term == entry.term ? ProposalOutcome::kCommitted
                                                                : ProposalOutcome::kUnknown);
  this->pending_proposals.erase(proposal);
}

void ClusterGroup::ExpireProposals() {
  const TimePoint now = this->hooks.now();
  for (auto proposal = this->pending_proposals.begin();
       proposal != this->pending_proposals.end();) {
    if (now < proposal->second.deadline) {
      ++proposal;
      continue;
    }
    proposal->second.callback(ProposalOutcome::kUnknown);
    proposal = this->pending_proposals.erase(proposal);
  }
}

void ClusterGroup::CompleteReads() {
  const TimePoint now = this->hooks.now();
  const TimePoint up_to_date_as_of = this->node->Status().up_to_date_as_of;
  std::vector<PendingRead> still_pending;
  for (PendingRead& read : this->pending_reads) {
    if (up_to_date_as_of >= read.requested_at &&
        this->state->configuration().version != base::Version()) {
      read.callback(this->state->configuration());
    } else if (now - read.requested_at >= kResponseTimeout) {
      read.callback(base::MakeErrorResult(base::ErrorCode::kUnavailable, this->UnreadableReason()));
    } else {
      still_pending.push_back(std::move(read));
    }
  }
  this->pending_reads = std::move(still_pending);
}

std::string ClusterGroup::UnreadableReason() const {
  const consensus::RaftStatus status = this->node->Status();
  if (status.leader.empty()) {
    return "the group has no leader";
  }
  if (this->state->configuration().version == base::Version()) {
    return "no configuration is known here";
  }
  return "the leader has not confirmed that this host is up to date: " + status.leader.value();
}

std::vector<ClusterView::Member> ClusterGroup::ReachableMembers() const {
  const consensus::RaftMembership membership = this->node->Status().membership;
  std::vector<ClusterView::Member> members;
  const auto add_if_reachable = [this, &members](const HostId& member_name) {
    auto found = this->hooks.reachable_member(MemberName::ParseHost(member_name));
    if (found) {
      members.push_back(std::move(*found));
    }
  };
  for (const HostId& voter : membership.AllVoters()) {
    add_if_reachable(voter);
  }
  for (const HostId& learner : membership.learners) {
    add_if_reachable(learner);
  }
  return members;
}

}  // namespace sapphirecrank::clusterhost
