#include "tests/consensus/raft_cluster.h"

#include <fmt/format.h>

#include <algorithm>
#include <sstream>

namespace sapphirecrank::consensus {
namespace {

using base::HostId;
using base::LogIndex;
using base::TimePoint;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kTimeStep{5};
constexpr size_t kMaxViolations = 20;

std::vector<std::string> SplitCommands(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream input(text);
  for (std::string part; std::getline(input, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

std::string JoinCommands(const std::vector<std::string>& parts) {
  std::string text;
  for (const std::string& part : parts) {
    text += part + ",";
  }
  return text;
}

}  // namespace

RaftCluster::RaftCluster(uint64_t seed, int voters, int hosts, const RaftSettings& settings)
    : random_engine(seed), settings(settings) {
  for (int i = 0; i < voters; ++i) {
    this->initial_membership.voters.insert(HostName(i));
  }
  for (int i = 0; i < hosts; ++i) {
    this->hosts.push_back(std::make_unique<Host>(this->random_engine()));
  }
  for (int i = 0; i < hosts; ++i) {
    this->Restart(i);
  }
}

RaftSettings RaftCluster::ShortLogs() {
  RaftSettings settings;
  settings.snapshot_interval_entries = 20;
  settings.retained_entries = 5;
  settings.maximum_append_bytes = base::ByteCount(200);
  settings.snapshot_chunk_bytes = base::ByteCount(40);
  return settings;
}

void RaftCluster::Run(base::Duration duration) {
  TimePoint end = this->manual_clock.Now() + duration;
  while (this->manual_clock.Now() < end) {
    this->manual_clock.Advance(kTimeStep);
    this->DeliverDueMessages();
    for (int i = 0; i < this->host_count(); ++i) {
      this->FlushHost(i);
    }
  }
}

bool RaftCluster::RunUntil(const std::function<bool()>& condition, base::Duration limit) {
  TimePoint end = this->manual_clock.Now() + limit;
  while (this->manual_clock.Now() < end) {
    if (condition()) {
      return true;
    }
    this->Run(kTimeStep);
  }
  return condition();
}

int RaftCluster::Propose() {
  int accepted = 0;
  for (const auto& host : this->hosts) {
    if (host->node) {
      accepted += host->node->Propose(fmt::format("c{}", this->next_command_number++)) ? 1 : 0;
    }
  }
  return accepted;
}

void RaftCluster::Crash(int host) {
  Host& crashed = *this->hosts[static_cast<size_t>(host)];
  crashed.node.reset();
  crashed.disk_storage.reset();
  crashed.disk.Crash();
}

bool RaftCluster::Restart(int host) {
  Host& started = *this->hosts[static_cast<size_t>(host)];
  if (started.node) {
    return true;
  }
  RecoveredState recovered;
  recovered.snapshot.membership = this->initial_membership;
  if (!started.is_diskless) {
    auto opened =
        RaftDiskStorage::Open(started.disk.MakeFileSystem(), "data", this->initial_membership);
    if (!opened && opened.error().code == base::ErrorCode::kStorageFailed) {
      // This is an injected fault; the host stays down until the next restart.
      started.disk.Crash();
      return false;
    }
    if (!opened) {
      this->AddViolation(fmt::format("h{}: the restart failed: {}", host, opened.error().message));
      return false;
    }
    started.disk_storage = std::move(*opened);
    recovered = started.disk_storage->recovered_state();
  }
  started.applied_commands.clear();
  started.checked_index = recovered.snapshot.index;
  started.node =
      std::make_unique<RaftNode>(HostName(host), base::Incarnation(++this->last_incarnation),
                                 this->settings, recovered, this->MakeHooks(started));
  return true;
}

RaftNode::Hooks RaftCluster::MakeHooks(Host& host) {
  RaftNode::Hooks hooks;
  hooks.now = this->manual_clock.AsClock();
  hooks.random_duration = [this](base::Duration low, base::Duration high) {
    auto range = static_cast<uint64_t>((high - low).count()) + 1;
    return low + base::Duration(this->random_engine() % range);
  };
  hooks.send_message = [this](const RaftMessage& message) { this->SendMessage(message); };
  if (host.disk_storage) {
    hooks.storage = host.disk_storage->MakeStorageHooks();
  }
  hooks.apply_entry = [this, &host](const LogEntry& entry) {
    host.applied_commands.push_back(entry.command);
    auto known = this->committed_commands.emplace(entry.index, entry.command).first;
    if (known->second != entry.command) {
      this->AddViolation(fmt::format("index {}: command {} committed after {}", entry.index.value(),
                                     entry.command, known->second));
    }
  };
  hooks.take_snapshot = [&host] { return JoinCommands(host.applied_commands); };
  hooks.restore_snapshot = [this, &host](const RaftSnapshot& snapshot) {
    host.applied_commands = SplitCommands(snapshot.state);
    std::vector<std::string> expected;
    for (const auto& [index, command] : this->committed_commands) {
      if (index <= snapshot.index) {
        expected.push_back(command);
      }
    }
    if (expected != host.applied_commands) {
      this->AddViolation(fmt::format("the snapshot at index {} differs from the committed commands",
                                     snapshot.index.value()));
    }
  };
  return hooks;
}

void RaftCluster::Isolate(int host) {
  for (int other = 0; other < this->host_count(); ++other) {
    this->CutLink(host, other);
    this->CutLink(other, host);
  }
}

void RaftCluster::PartitionNetwork(unsigned side_bits) {
  for (int a = 0; a < this->host_count(); ++a) {
    for (int b = 0; b < this->host_count(); ++b) {
      if (((side_bits >> a) & 1U) != ((side_bits >> b) & 1U)) {
        this->CutLink(a, b);
      }
    }
  }
}

void RaftCluster::HealNetwork() {
  this->cut_links.clear();
  this->SetNetworkFaults(0, 0, 0);
}

void RaftCluster::SetNetworkFaults(int lost, int repeated, int delayed) {
  this->lost_percent = lost;
  this->repeated_percent = repeated;
  this->delayed_percent = delayed;
}

bool RaftCluster::Recover() {
  this->HealNetwork();
  for (int i = 0; i < this->host_count(); ++i) {
    // A host whose disk has failed votes again only after a restart, so all hosts restart.
    this->Crash(i);
    if (!this->Restart(i)) {
      return false;
    }
  }
  bool has_leader = this->RunUntil(
      [this] {
        int leader = this->Leader();
        return leader >= 0 && this->node(leader)->HasLeaderLease();
      },
      std::chrono::seconds(20));
  if (!has_leader) {
    this->AddViolation("no leader after all faults ended");
    return false;
  }
  this->Propose();
  auto has_converged = [this] {
    int leader = this->Leader();
    if (leader < 0) {
      return false;
    }
    RaftStatus leader_status = this->node(leader)->Status();
    if (leader_status.applied_index != leader_status.last_index) {
      return false;
    }
    for (int i = 0; i < this->host_count(); ++i) {
      bool is_member = leader_status.membership.voters.count(HostName(i)) +
                           leader_status.membership.learners.count(HostName(i)) !=
                       0;
      if (is_member && this->applied_commands(i) != this->applied_commands(leader)) {
        return false;
      }
    }
    return true;
  };
  if (!this->RunUntil(has_converged, std::chrono::seconds(20))) {
    this->AddViolation("the members did not converge after all faults ended");
    return false;
  }
  std::vector<std::string> expected;
  for (const auto& [index, command] : this->committed_commands) {
    expected.push_back(command);
  }
  if (this->applied_commands(this->Leader()) != expected) {
    this->AddViolation("a committed command is lost");
  }
  return this->violation_texts.empty();
}

int RaftCluster::Leader() const {
  int leader = -1;
  base::Term term;
  for (int i = 0; i < this->host_count(); ++i) {
    const auto& node = this->hosts[static_cast<size_t>(i)]->node;
    if (node && node->Status().role == RaftRole::kLeader && node->Status().term >= term) {
      leader = i;
      term = node->Status().term;
    }
  }
  return leader;
}

void RaftCluster::SendMessage(const RaftMessage& message) {
  this->CheckMessage(message);
  this->snapshot_chunk_count += std::holds_alternative<SnapshotChunk>(message.body) ? 1 : 0;
  if (this->cut_links.count({message.from, message.to}) != 0 ||
      this->HappensWithChance(this->lost_percent)) {
    return;
  }
  int copies = this->HappensWithChance(this->repeated_percent) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    int delay_limit = this->HappensWithChance(this->delayed_percent) ? 400'000 : 3'000;
    microseconds delay(
        static_cast<int>(this->random_engine() % static_cast<uint64_t>(delay_limit)));
    this->in_flight.emplace(this->manual_clock.Now() + delay, message);
  }
}

void RaftCluster::DeliverDueMessages() {
  while (!this->in_flight.empty() && this->in_flight.begin()->first <= this->manual_clock.Now()) {
    RaftMessage message = std::move(this->in_flight.begin()->second);
    this->in_flight.erase(this->in_flight.begin());
    int number = std::stoi(message.to.value().substr(1));
    if (number < this->host_count() && this->node(number) != nullptr) {
      this->node(number)->ReceiveMessage(message);
    }
  }
}

void RaftCluster::FlushHost(int number) {
  RaftNode* node = this->node(number);
  if (node == nullptr) {
    return;
  }
  node->Tick();
  node->Flush();
  if (this->disk(number).crashed()) {
    this->Crash(number);
    return;
  }
  this->CheckHost(number);
}

void RaftCluster::CheckMessage(const RaftMessage& message) {
  if (std::holds_alternative<AppendRequest>(message.body)) {
    auto [known, is_new] = this->leaders_by_term.emplace(message.term, message.from);
    if (known->second != message.from) {
      this->AddViolation(fmt::format("two leaders in term {}", message.term.value()));
    }
    if (is_new) {
      this->CheckLeaderHasCommitted(*this->node(std::stoi(message.from.value().substr(1))));
    }
  }
  HostId candidate;
  if (const auto* request = std::get_if<VoteRequest>(&message.body)) {
    candidate = request->pre_vote ? HostId() : message.from;
  } else if (const auto* response = std::get_if<VoteResponse>(&message.body)) {
    candidate = response->granted && !response->pre_vote ? message.to : HostId();
  }
  if (!candidate.empty() &&
      this->votes_by_host_and_term.emplace(std::make_pair(message.from, message.term), candidate)
              .first->second != candidate) {
    this->AddViolation(
        fmt::format("{} voted twice in term {}", message.from.value(), message.term.value()));
  }
}

void RaftCluster::CheckHost(int number) {
  Host& host = *this->hosts[static_cast<size_t>(number)];
  const RaftLog& log = host.node->log();
  RaftStatus status = host.node->Status();
  for (LogIndex i = log.base_index().Next(); i <= log.last_index(); i = i.Next()) {
    const LogEntry& entry = log.EntryAt(i);
    if (this->commands_by_index_and_term.emplace(std::make_pair(i, entry.term), entry.command)
            .first->second != entry.command) {
      this->AddViolation(
          fmt::format("logs differ at index {} although the terms are equal", i.value()));
    }
  }
  for (LogIndex i = std::max(host.checked_index, log.base_index()).Next();
       i <= status.applied_index; i = i.Next()) {
    base::Term term = log.EntryAt(i).term;
    if (this->committed_terms.emplace(i, term).first->second != term) {
      this->AddViolation(
          fmt::format("h{}: the committed entry {} was replaced", number, i.value()));
    }
  }
  host.checked_index = std::max(host.checked_index, status.applied_index);
  LogIndex known = this->commit_times.empty() ? LogIndex() : this->commit_times.rbegin()->second;
  if (status.commit_index > known) {
    this->commit_times[this->manual_clock.Now()] = status.commit_index;
    known = status.commit_index;
  }
  if (host.node->HasLeaderLease() && status.applied_index < known) {
    this->AddViolation(
        fmt::format("h{}: holds the leader lease but lacks committed entries", number));
  }
  if (status.applied_index < this->CommitIndexBefore(status.up_to_date_as_of)) {
    this->AddViolation(
        fmt::format("h{}: reports that it is up to date but lacks committed entries", number));
  }
}

void RaftCluster::CheckLeaderHasCommitted(const RaftNode& leader) {
  const RaftLog& log = leader.log();
  for (const auto& [index, term] : this->committed_terms) {
    if (index > log.base_index() && log.TermAt(index) != term) {
      this->AddViolation(fmt::format("the new leader lacks the committed entry {}", index.value()));
    }
  }
}

LogIndex RaftCluster::CommitIndexBefore(TimePoint time) const {
  auto later = this->commit_times.lower_bound(time);
  return later == this->commit_times.begin() ? LogIndex() : std::prev(later)->second;
}

void RaftCluster::AddViolation(const std::string& text) {
  if (this->violation_texts.size() < kMaxViolations) {
    this->violation_texts.push_back(text);
  }
}

}  // namespace sapphirecrank::consensus
