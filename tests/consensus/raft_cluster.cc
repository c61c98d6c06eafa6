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

constexpr milliseconds kSlice{5};
constexpr size_t kMaxViolations = 20;

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream input(text);
  for (std::string part; std::getline(input, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

std::string Join(const std::vector<std::string>& parts) {
  std::string text;
  for (const std::string& part : parts) {
    text += part + ",";
  }
  return text;
}

}  // namespace

RaftCluster::RaftCluster(uint64_t seed, int voters, int hosts, const RaftSettings& settings)
    : random(seed), settings(settings) {
  for (int i = 0; i < voters; ++i) {
    this->initial.voters.insert(Name(i));
  }
  for (int i = 0; i < hosts; ++i) {
    this->hosts.push_back(std::make_unique<Host>(this->random()));
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
    this->manual_clock.Advance(kSlice);
    this->Deliver();
    for (int i = 0; i < this->size(); ++i) {
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
    this->Run(kSlice);
  }
  return condition();
}

int RaftCluster::Propose() {
  int accepted = 0;
  for (const auto& host : this->hosts) {
    if (host->node) {
      accepted += host->node->Propose(fmt::format("c{}", this->next_command++)) ? 1 : 0;
    }
  }
  return accepted;
}

void RaftCluster::Crash(int host) {
  Host& crashed = *this->hosts[static_cast<size_t>(host)];
  crashed.node.reset();
  crashed.raft_disk.reset();
  crashed.disk.Crash();
}

bool RaftCluster::Restart(int host) {
  Host& started = *this->hosts[static_cast<size_t>(host)];
  if (started.node) {
    return true;
  }
  RecoveredState recovered;
  recovered.snapshot.membership = this->initial;
  if (!started.diskless) {
    auto opened = RaftDiskStorage::Open(started.disk.Hooks(), "data", this->initial);
    if (!opened && opened.error().code == base::ErrorCode::kStorageFailed) {
      // A provoked failure; the host stays down until the next attempt.
      started.disk.Crash();
      return false;
    }
    if (!opened) {
      this->Violation(fmt::format("h{}: restart refused: {}", host, opened.error().message));
      return false;
    }
    started.raft_disk = std::move(*opened);
    recovered = started.raft_disk->recovered_state();
  }
  started.commands.clear();
  started.checked = recovered.snapshot.index;
  started.node = std::make_unique<RaftNode>(Name(host), base::Incarnation(++this->incarnations),
                                            this->settings, recovered, this->MakeHooks(started));
  return true;
}

RaftNode::Hooks RaftCluster::MakeHooks(Host& host) {
  RaftNode::Hooks hooks;
  hooks.now = this->manual_clock.AsClock();
  hooks.random_duration = [this](base::Duration low, base::Duration high) {
    auto range = static_cast<uint64_t>((high - low).count()) + 1;
    return low + base::Duration(this->random() % range);
  };
  hooks.send_message = [this](const RaftMessage& message) { this->Send(message); };
  if (host.raft_disk) {
    hooks.storage = host.raft_disk->MakeStorageHooks();
  }
  hooks.apply_entry = [this, &host](const LogEntry& entry) {
    host.commands.push_back(entry.command);
    auto known = this->commands.emplace(entry.index, entry.command).first;
    if (known->second != entry.command) {
      this->Violation(fmt::format("index {}: {} committed after {}", entry.index.value(),
                                  entry.command, known->second));
    }
  };
  hooks.take_snapshot = [&host] { return Join(host.commands); };
  hooks.restore_snapshot = [this, &host](const RaftSnapshot& snapshot) {
    host.commands = Split(snapshot.state);
    std::vector<std::string> expected;
    for (const auto& [index, command] : this->commands) {
      if (index <= snapshot.index) {
        expected.push_back(command);
      }
    }
    if (expected != host.commands) {
      this->Violation(
          fmt::format("snapshot at {} isn't the committed state", snapshot.index.value()));
    }
  };
  return hooks;
}

void RaftCluster::Isolate(int host) {
  for (int other = 0; other < this->size(); ++other) {
    this->Cut(host, other);
    this->Cut(other, host);
  }
}

void RaftCluster::Partition(unsigned side) {
  for (int a = 0; a < this->size(); ++a) {
    for (int b = 0; b < this->size(); ++b) {
      if (((side >> a) & 1U) != ((side >> b) & 1U)) {
        this->Cut(a, b);
      }
    }
  }
}

void RaftCluster::Heal() {
  this->cut.clear();
  this->SetNetwork(0, 0, 0);
}

void RaftCluster::SetNetwork(int lost, int repeated, int delayed) {
  this->lost_percent = lost;
  this->repeated_percent = repeated;
  this->delayed_percent = delayed;
}

bool RaftCluster::Recover() {
  this->Heal();
  for (int i = 0; i < this->size(); ++i) {
    // A host whose disk has failed votes again only after a restart.
    this->Crash(i);
    if (!this->Restart(i)) {
      return false;
    }
  }
  bool led = this->RunUntil(
      [this] {
        int leader = this->Leader();
        return leader >= 0 && this->node(leader)->HasLeaderLease();
      },
      std::chrono::seconds(20));
  if (!led) {
    this->Violation("no leader after all faults ended");
    return false;
  }
  this->Propose();
  auto converged = [this] {
    int leader = this->Leader();
    if (leader < 0) {
      return false;
    }
    RaftStatus wanted = this->node(leader)->Status();
    if (wanted.applied_index != wanted.last_index) {
      return false;
    }
    for (int i = 0; i < this->size(); ++i) {
      bool member =
          wanted.membership.voters.count(Name(i)) + wanted.membership.learners.count(Name(i)) != 0;
      if (member && this->applied(i) != this->applied(leader)) {
        return false;
      }
    }
    return true;
  };
  if (!this->RunUntil(converged, std::chrono::seconds(20))) {
    this->Violation("members differ after all faults ended");
    return false;
  }
  std::vector<std::string> expected;
  for (const auto& [index, command] : this->commands) {
    expected.push_back(command);
  }
  if (this->applied(this->Leader()) != expected) {
    this->Violation("a committed command is lost");
  }
  return this->found.empty();
}

int RaftCluster::Leader() const {
  int leader = -1;
  base::Term term;
  for (int i = 0; i < this->size(); ++i) {
    const auto& node = this->hosts[static_cast<size_t>(i)]->node;
    if (node && node->Status().role == RaftRole::kLeader && node->Status().term >= term) {
      leader = i;
      term = node->Status().term;
    }
  }
  return leader;
}

void RaftCluster::Send(const RaftMessage& message) {
  this->CheckMessage(message);
  this->chunks += std::holds_alternative<SnapshotChunk>(message.body) ? 1 : 0;
  if (this->cut.count({message.from, message.to}) != 0 || this->Chance(this->lost_percent)) {
    return;
  }
  int copies = this->Chance(this->repeated_percent) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    int limit = this->Chance(this->delayed_percent) ? 400'000 : 3'000;
    microseconds delay(static_cast<int>(this->random() % static_cast<uint64_t>(limit)));
    this->messages.emplace(this->manual_clock.Now() + delay, message);
  }
}

void RaftCluster::Deliver() {
  while (!this->messages.empty() && this->messages.begin()->first <= this->manual_clock.Now()) {
    RaftMessage message = std::move(this->messages.begin()->second);
    this->messages.erase(this->messages.begin());
    int number = std::stoi(message.to.value().substr(1));
    if (number < this->size() && this->node(number) != nullptr) {
      this->node(number)->ReceiveMessage(message);
    }
  }
}

void RaftCluster::FlushHost(int number) {
  RaftNode* flushed = this->node(number);
  if (flushed == nullptr) {
    return;
  }
  flushed->Tick();
  flushed->Flush();
  if (this->disk(number).crashed()) {
    this->Crash(number);
    return;
  }
  this->CheckHost(number);
}

void RaftCluster::CheckMessage(const RaftMessage& message) {
  if (std::holds_alternative<AppendRequest>(message.body)) {
    auto [known, is_new] = this->leaders.emplace(message.term, message.from);
    if (known->second != message.from) {
      this->Violation(fmt::format("two leaders in term {}", message.term.value()));
    }
    if (is_new) {
      this->CheckLeaderHasCommitted(*this->node(std::stoi(message.from.value().substr(1))));
    }
  }
  HostId candidate;
  if (const auto* request = std::get_if<VoteRequest>(&message.body)) {
    candidate = request->pre_vote ? HostId() : message.from;
  } else if (const auto* answer = std::get_if<VoteResponse>(&message.body)) {
    candidate = answer->granted && !answer->pre_vote ? message.to : HostId();
  }
  if (!candidate.empty() &&
      this->votes.emplace(std::make_pair(message.from, message.term), candidate).first->second !=
          candidate) {
    this->Violation(
        fmt::format("{} voted twice in term {}", message.from.value(), message.term.value()));
  }
}

void RaftCluster::CheckHost(int number) {
  Host& host = *this->hosts[static_cast<size_t>(number)];
  const RaftLog& log = host.node->log();
  RaftStatus status = host.node->Status();
  for (LogIndex i = log.base_index().Next(); i <= log.last_index(); i = i.Next()) {
    const LogEntry& entry = log.EntryAt(i);
    if (this->entries.emplace(std::make_pair(i, entry.term), entry.command).first->second !=
        entry.command) {
      this->Violation(fmt::format("logs differ at {} of equal term", i.value()));
    }
  }
  for (LogIndex i = std::max(host.checked, log.base_index()).Next(); i <= status.applied_index;
       i = i.Next()) {
    base::Term term = log.EntryAt(i).term;
    if (this->committed.emplace(i, term).first->second != term) {
      this->Violation(fmt::format("h{}: committed entry {} was replaced", number, i.value()));
    }
  }
  host.checked = std::max(host.checked, status.applied_index);
  LogIndex known = this->commit_times.empty() ? LogIndex() : this->commit_times.rbegin()->second;
  if (status.commit_index > known) {
    this->commit_times[this->manual_clock.Now()] = status.commit_index;
    known = status.commit_index;
  }
  if (host.node->HasLeaderLease() && status.applied_index < known) {
    this->Violation(fmt::format("h{}: lease holder is behind", number));
  }
  if (status.applied_index < this->CommittedBefore(status.up_to_date_as_of)) {
    this->Violation(fmt::format("h{}: calls itself current and is behind", number));
  }
}

void RaftCluster::CheckLeaderHasCommitted(const RaftNode& leader) {
  const RaftLog& log = leader.log();
  for (const auto& [index, term] : this->committed) {
    if (index > log.base_index() && log.TermAt(index) != term) {
      this->Violation(fmt::format("new leader lacks committed entry {}", index.value()));
    }
  }
}

LogIndex RaftCluster::CommittedBefore(TimePoint time) const {
  auto later = this->commit_times.lower_bound(time);
  return later == this->commit_times.begin() ? LogIndex() : std::prev(later)->second;
}

void RaftCluster::Violation(const std::string& text) {
  if (this->found.size() < kMaxViolations) {
    this->found.push_back(text);
  }
}

}  // namespace sapphirecrank::consensus
