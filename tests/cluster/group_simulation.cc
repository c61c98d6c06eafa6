#include "tests/cluster/group_simulation.h"

#include <fmt/format.h>

#include <algorithm>

#include "cluster/member_name.h"
#include "storage/byte_reader.h"
#include "storage/byte_writer.h"

namespace sapphirecrank::cluster {

using base::HostId;
using base::TimePoint;
using consensus::RaftMessage;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kTimeStep{5};
constexpr milliseconds kTickInterval{25};
constexpr milliseconds kMaximumMessageDelay{8};
// As in the settings of allocators.
constexpr milliseconds kHostTimeout{1000};
constexpr const char* kFirstStoreId = "first";

consensus::RaftSettings ShortLogs() {
  consensus::RaftSettings settings;
  settings.snapshot_interval_entries = 20;
  settings.retained_entries = 5;
  return settings;
}

}  // namespace

GroupSimulation::GroupSimulation(uint64_t seed, size_t voter_count, size_t host_count,
                                 size_t data_centre_count)
    : random(seed) {
  for (size_t i = 0; i < host_count; ++i) {
    auto host = std::make_unique<Host>();
    host->address = HostId(fmt::format("h{}", i));
    host->data_centre = base::DataCentreId(fmt::format("dc{}", i % data_centre_count));
    host->store_id = kFirstStoreId;
    host->disk = std::make_unique<storage::FaultyFileSystem>(this->random());
    if (i < voter_count) {
      this->initial_membership.voters.insert(this->MemberOf(*host));
    }
    this->hosts.push_back(std::move(host));
  }
  for (size_t i = 0; i < host_count; ++i) {
    this->Restart(i);
  }
}

GroupSimulation::~GroupSimulation() = default;

HostId GroupSimulation::MemberOf(const Host& host) const {
  return MemberName::Format(host.address, host.store_id);
}

size_t GroupSimulation::IndexOf(const HostId& address) const {
  for (size_t i = 0; i < this->hosts.size(); ++i) {
    if (this->hosts[i]->address == address) {
      return i;
    }
  }
  return kNoHost;
}

size_t GroupSimulation::AddHost(const base::DataCentreId& data_centre) {
  auto host = std::make_unique<Host>();
  host->address = HostId(fmt::format("h{}", this->hosts.size()));
  host->data_centre = data_centre;
  host->store_id = fmt::format("store{}", this->random());
  host->disk = std::make_unique<storage::FaultyFileSystem>(this->random());
  this->hosts.push_back(std::move(host));
  this->Restart(this->hosts.size() - 1);
  return this->hosts.size() - 1;
}

void GroupSimulation::Kill(size_t host) {
  Host& killed = *this->hosts[host];
  killed.membership.reset();
  killed.node.reset();
  killed.disk_storage.reset();
  killed.disk->Crash();
  killed.is_frozen = false;
}

void GroupSimulation::RemoveForGood(size_t host) {
  this->Kill(host);
  this->hosts[host]->is_gone = true;
}

void GroupSimulation::LoseDisk(size_t host) {
  this->Kill(host);
  Host& wiped = *this->hosts[host];
  wiped.disk = std::make_unique<storage::FaultyFileSystem>(this->random());
  wiped.store_id = fmt::format("store{}", this->random());
}

void GroupSimulation::Restart(size_t host) {
  Host& started = *this->hosts[host];
  if (started.node || started.is_gone) {
    return;
  }
  started.is_leaving = false;
  started.applied_commands.clear();
  started.state = this->MakeState(started);
  consensus::RaftMembership membership;
  if (started.store_id == kFirstStoreId) {
    membership = this->initial_membership;
  }
  auto opened =
      consensus::RaftDiskStorage::Open(started.disk->MakeFileSystem(), "data", membership);
  started.disk_storage = std::move(opened.value());
  started.node = std::make_unique<consensus::RaftNode>(
      this->MemberOf(started), base::Incarnation(this->next_incarnation++), ShortLogs(),
      started.disk_storage->recovered_state(), this->NodeHooks(started));
  GroupMembership::Settings membership_settings;
  membership_settings.desired_voter_count = this->initial_membership.voters.size();
  started.membership =
      std::make_unique<GroupMembership>(membership_settings, this->MembershipHooks(host));
}

void GroupSimulation::AnnounceStop(size_t host) {
  this->hosts[host]->is_leaving = true;
  this->hosts[host]->node->TransferLeadership();
}

void GroupSimulation::SetFrozen(size_t host, bool is_frozen) {
  this->hosts[host]->is_frozen = is_frozen;
}

void GroupSimulation::SetCutOff(size_t host, bool is_cut_off) {
  this->hosts[host]->is_cut_off = is_cut_off;
}

void GroupSimulation::SetDiskDelay(size_t host, base::Duration delay) {
  this->hosts[host]->disk_delay = delay;
}

bool GroupSimulation::IsRunning(size_t host) const { return this->hosts[host]->node != nullptr; }

bool GroupSimulation::IsLinkUp(size_t a, size_t b) const {
  const Host& first = *this->hosts[a];
  const Host& second = *this->hosts[b];
  const bool are_on_one_side = this->split_side.count(a) == this->split_side.count(b);
  return first.node && second.node && !first.is_cut_off && !second.is_cut_off && are_on_one_side;
}

bool GroupSimulation::AreConnected(size_t a, size_t b) const {
  return a == b ||
         (this->IsLinkUp(a, b) && !this->hosts[a]->is_frozen && !this->hosts[b]->is_frozen);
}

bool GroupSimulation::IsReachable(size_t from, const HostId& address) const {
  const size_t to = this->IndexOf(address);
  if (to == from) {
    return true;
  }
  const auto contact = this->last_contacts.find({from, to});
  return contact != this->last_contacts.end() && this->clock.Now() - contact->second < kHostTimeout;
}

void GroupSimulation::UpdateContacts() {
  for (size_t from = 0; from < this->hosts.size(); ++from) {
    for (size_t to = 0; to < this->hosts.size(); ++to) {
      const bool is_answered_by_other_host =
          this->hosts[from]->node && this->hosts[to]->has_other_host;
      if (this->AreConnected(from, to) || is_answered_by_other_host) {
        this->last_contacts[{from, to}] = this->clock.Now();
      }
    }
  }
}

consensus::RaftNode::Hooks GroupSimulation::NodeHooks(Host& host) {
  consensus::RaftNode::Hooks hooks;
  hooks.now = this->clock.AsClock();
  hooks.random_duration = [this](base::Duration low, base::Duration high) {
    return low + base::Duration(this->random() % (static_cast<uint64_t>((high - low).count()) + 1));
  };
  hooks.send_message = [this](const RaftMessage& message) {
    const TimePoint arrival =
        this->clock.Now() + milliseconds(1 + this->random() % kMaximumMessageDelay.count());
    this->raft_messages.emplace(arrival, message);
  };
  const consensus::RaftStorage storage = host.disk_storage->MakeStorageHooks();
  hooks.storage.append_entries = [this, &host, append = storage.append_entries](
                                     const auto& hard_state, const auto& entries) {
    host.busy_until = this->clock.Now() + host.disk_delay;
    return append(hard_state, entries);
  };
  hooks.storage.save_snapshot = [this, &host, save = storage.save_snapshot](const auto& snapshot,
                                                                            const auto& hard_state,
                                                                            const auto& entries) {
    host.busy_until = this->clock.Now() + host.disk_delay;
    return save(snapshot, hard_state, entries);
  };
  hooks.apply_entry = [&host](const consensus::LogEntry& entry) {
    host.applied_commands.insert(entry.command);
    host.state->Apply(entry.command);
  };
  hooks.take_snapshot = [&host] { return host.state->TakeSnapshot(); };
  hooks.restore_snapshot = [&host](const consensus::RaftSnapshot& snapshot) {
    host.state->Restore(snapshot.state);
  };
  return hooks;
}

std::unique_ptr<ClusterState> GroupSimulation::MakeState(Host& host) {
  ClusterState::Hooks hooks;
  hooks.now = this->clock.AsClock();
  hooks.reachable_members = [] { return std::vector<ClusterView::Member>(); };
  hooks.is_leader = [] { return false; };
  hooks.propose_command = [](const std::string& /*command*/) {};
  hooks.on_state_change = [] {};
  hooks.apply_jobs_command = [](const std::string& /*command*/) {};
  // In place of stored jobs, the snapshot holds all commands that were applied.
  hooks.take_jobs_snapshot = [&host] {
    storage::ByteWriter writer;
    for (const std::string& command : host.applied_commands) {
      writer.WriteString(command);
    }
    return writer.TakeBytes();
  };
  hooks.restore_jobs_snapshot = [&host](const std::string& snapshot) {
    host.applied_commands.clear();
    storage::ByteReader reader(snapshot);
    while (reader.remaining_size() > 0) {
      host.applied_commands.insert(reader.ReadString());
    }
  };
  return std::make_unique<ClusterState>(std::move(hooks));
}

void GroupSimulation::CheckEvacuations(const Host& host) {
  const EvacuationState& state = host.state->evacuations();
  const auto known = this->evacuation_states.emplace(state.revision(), state.evacuations()).first;
  if (known->second != state.evacuations() && this->first_evacuation_violation.empty()) {
    this->first_evacuation_violation =
        fmt::format("{} has another state of revision {} than another host",
                    this->MemberOf(host).value(), state.revision().value());
  }
}

bool GroupSimulation::OrderEvacuation(EvacuationOrder order, base::Duration limit) {
  const TimePoint deadline = this->clock.Now() + limit;
  // The time makes the command unlike all others.
  order.ordered_at = base::TimeOfDay(milliseconds(this->next_command++));
  const std::string command = ClusterState::EncodeEvacuationCommand(order);
  OrderHistory& history = this->order_histories[order.data_centre];
  history.has_later_order = true;
  std::set<size_t> asked_hosts;
  do {
    for (size_t i = 0; i < this->hosts.size(); ++i) {
      if (this->CanRun(i) && this->hosts[i]->node->Propose(command)) {
        asked_hosts.insert(i);
      }
    }
    this->Run(milliseconds(100));
    for (const size_t i : asked_hosts) {
      if (this->hosts[i]->node && this->hosts[i]->applied_commands.count(command) != 0) {
        history = {order.kind, false};
        return true;
      }
    }
  } while (this->clock.Now() < deadline);
  return false;
}

std::string GroupSimulation::EvacuationViolation() const {
  const size_t leader = this->Leader();
  if (!this->first_evacuation_violation.empty() || leader == kNoHost) {
    return leader == kNoHost ? "the group has no leader" : this->first_evacuation_violation;
  }
  const std::set<base::DataCentreId> evacuated =
      this->hosts[leader]->state->evacuations().DataCentres();
  for (const auto& [data_centre, history] : this->order_histories) {
    const bool is_evacuated = evacuated.count(data_centre) > 0;
    if (!history.has_later_order &&
        is_evacuated != (history.acknowledged == EvacuationOrder::Kind::kStart)) {
      return "the acknowledged order is not in force for " + data_centre.value();
    }
  }
  return "";
}

GroupMembership::Hooks GroupSimulation::MembershipHooks(size_t host) {
  GroupMembership::Hooks hooks;
  hooks.now = this->clock.AsClock();
  hooks.is_host_reachable = [this, host](const HostId& address) {
    return this->IsReachable(host, address);
  };
  hooks.is_host_leaving = [this](const HostId& address) {
    return this->hosts[this->IndexOf(address)]->is_leaving;
  };
  hooks.host_data_centre = [this](const HostId& address) {
    return this->hosts[this->IndexOf(address)]->data_centre;
  };
  hooks.send_join_request = [this, host](const HostId& member) {
    for (size_t to = 0; to < this->hosts.size(); ++to) {
      if (to != host && this->IsReachable(host, this->hosts[to]->address)) {
        this->join_requests.emplace(
            this->clock.Now() + kTimeStep,
            JoinRequestMessage{this->hosts[host]->address, this->hosts[to]->address, member});
      }
    }
  };
  hooks.on_membership_change = [](const PlannedChange&) {};
  hooks.on_promotion_delayed = [](const HostId&, const std::string&) {};
  return hooks;
}

bool GroupSimulation::CanRun(size_t host) const {
  const Host& running = *this->hosts[host];
  return running.node && !running.is_frozen && this->clock.Now() >= running.busy_until;
}

void GroupSimulation::DeliverDueMessages() {
  const TimePoint now = this->clock.Now();
  auto due_messages = std::move(this->raft_messages);
  this->raft_messages.clear();
  for (const auto& [arrival, message] : due_messages) {
    const size_t from = this->IndexOf(MemberName::ParseHost(message.from));
    const size_t to = this->IndexOf(MemberName::ParseHost(message.to));
    if (arrival > now || (this->IsLinkUp(from, to) && !this->CanRun(to))) {
      this->raft_messages.emplace(arrival, message);
    } else if (this->IsLinkUp(from, to)) {
      this->hosts[to]->node->ReceiveMessage(message);
    }
  }
  while (!this->join_requests.empty() && this->join_requests.begin()->first <= now) {
    const JoinRequestMessage request = this->join_requests.begin()->second;
    this->join_requests.erase(this->join_requests.begin());
    const size_t to = this->IndexOf(request.to);
    if (this->AreConnected(this->IndexOf(request.from), to)) {
      this->hosts[to]->membership->OnJoinRequest(request.member);
    }
  }
}

void GroupSimulation::TickHost(size_t host) {
  if (!this->CanRun(host)) {
    return;
  }
  Host& running = *this->hosts[host];
  const bool is_tick_due =
      this->clock.Now().time_since_epoch() % kTickInterval == base::Duration(0);
  if (is_tick_due) {
    running.node->Tick();
    running.membership->Tick(this->MemberOf(running), *running.node);
  }
  running.node->Flush();
  this->CheckEvacuations(running);
}

void GroupSimulation::Run(base::Duration duration) {
  const TimePoint end = this->clock.Now() + duration;
  while (this->clock.Now() < end) {
    this->clock.Advance(kTimeStep);
    this->UpdateContacts();
    this->DeliverDueMessages();
    for (size_t host = 0; host < this->hosts.size(); ++host) {
      this->TickHost(host);
    }
  }
}

size_t GroupSimulation::Leader() const {
  for (size_t i = 0; i < this->hosts.size(); ++i) {
    if (this->hosts[i]->node && !this->hosts[i]->is_frozen &&
        this->hosts[i]->node->HasLeaderLease()) {
      return i;
    }
  }
  return kNoHost;
}

bool GroupSimulation::Commit(base::Duration limit) {
  const TimePoint deadline = this->clock.Now() + limit;
  const std::string command = fmt::format("c{}", this->next_command++);
  while (this->clock.Now() < deadline) {
    const size_t leader = this->Leader();
    if (leader != kNoHost && this->hosts[leader]->applied_commands.count(command) != 0) {
      this->committed_commands.insert(command);
      return true;
    }
    if (leader != kNoHost) {
      // Proposing it again does no harm, because commands are kept in a set.
      (void)this->hosts[leader]->node->Propose(command);
    }
    this->Run(milliseconds(100));
  }
  return false;
}

bool GroupSimulation::KeepsCommittedCommands() const {
  const size_t leader = this->Leader();
  return leader != kNoHost &&
         std::includes(this->hosts[leader]->applied_commands.begin(),
                       this->hosts[leader]->applied_commands.end(),
                       this->committed_commands.begin(), this->committed_commands.end());
}

bool GroupSimulation::IsComplete(bool check_data_centres) const {
  const size_t leader = this->Leader();
  if (leader == kNoHost) {
    return false;
  }
  const consensus::RaftStatus status = this->hosts[leader]->node->Status();
  std::map<base::DataCentreId, size_t> voters_by_data_centre;
  for (const HostId& voter : status.membership.voters) {
    const size_t host = this->IndexOf(MemberName::ParseHost(voter));
    if (!this->AreConnected(leader, host) || this->MemberOf(*this->hosts[host]) != voter) {
      return false;
    }
    ++voters_by_data_centre[this->hosts[host]->data_centre];
  }
  const size_t voter_count = status.membership.voters.size();
  if (check_data_centres) {
    for (const auto& [data_centre, count] : voters_by_data_centre) {
      if (voter_count - count < status.membership.QuorumSize()) {
        return false;
      }
    }
  }
  // Until the voters are committed, a next leader may still count those before. A change of the
  // learners may be in progress.
  const consensus::RaftMembership& committed =
      this->hosts[leader]->node->log().MembershipAt(status.commit_index);
  return committed.voters == status.membership.voters && committed.outgoing_voters.empty() &&
         status.membership.outgoing_voters.empty() &&
         voter_count == this->initial_membership.voters.size();
}

bool GroupSimulation::IsVoteHandoverPending(size_t host) const {
  return this->hosts[host]->membership->is_vote_handover_pending();
}

std::string GroupSimulation::Describe() const {
  std::string text;
  for (const auto& host : this->hosts) {
    if (!host->node) {
      continue;
    }
    const consensus::RaftStatus status = host->node->Status();
    text += fmt::format("{} in {}: term {}, leader {}, voters", this->MemberOf(*host).value(),
                        host->data_centre.value(), status.term.value(), status.leader.value());
    for (const HostId& voter : status.membership.voters) {
      text += " " + voter.value();
    }
    text += ", learners";
    for (const HostId& learner : status.membership.learners) {
      text += " " + learner.value();
    }
    text += "\n";
  }
  return text;
}

}  // namespace sapphirecrank::cluster
