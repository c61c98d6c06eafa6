#include "bench/state/simulated_group.h"

#include <time.h>

#include <algorithm>
#include <utility>

#include "configuration/configuration_codec.h"

namespace sapphirecrank::bench {
namespace {

using base::Duration;
using base::HostId;
using consensus::RaftMessage;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kTimeStep{1};
constexpr microseconds kOneWayLatency{1500};
constexpr milliseconds kSyncedWriteLatency{5};
constexpr int kVoterCount = 5;

Duration ThreadProcessorTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

// Adds fixed sizes for each message and entry to the size of the payloads, because the codec is in
// a package that this program doesn't link.
uint64_t EstimatedMessageBytes(const RaftMessage& message) {
  constexpr uint64_t kMessageBytes = 120;
  constexpr uint64_t kEntryBytes = 40;
  uint64_t bytes = kMessageBytes;
  if (const auto* append = std::get_if<consensus::AppendRequest>(&message.body)) {
    for (const consensus::LogEntry& entry : append->entries) {
      bytes += kEntryBytes + entry.command.size();
    }
  } else if (const auto* chunk = std::get_if<consensus::SnapshotChunk>(&message.body)) {
    bytes += chunk->bytes.size();
  }
  return bytes;
}

}  // namespace

SimulatedGroup::SimulatedGroup(int host_count) {
  consensus::RaftMembership membership;
  for (int i = 0; i < host_count; ++i) {
    (i < kVoterCount ? membership.voters : membership.learners).insert(HostId(std::to_string(i)));
  }
  for (int i = 0; i < host_count; ++i) {
    this->hosts.push_back(std::make_unique<Host>());
    this->StartHost(i, membership, i < kVoterCount);
  }
  this->AdvanceTime(std::chrono::seconds(5));
}

void SimulatedGroup::StartHost(int number, const consensus::RaftMembership& membership,
                               bool with_disk) {
  Host& host = *this->hosts.back();
  consensus::RaftNode::Hooks hooks;
  hooks.now = this->clock.AsClock();
  hooks.random_duration = [this](Duration low, Duration high) {
    return low + Duration(this->random_engine() % static_cast<uint64_t>((high - low).count()));
  };
  hooks.send_message = [&host](const RaftMessage& message) {
    host.outgoing_messages.push_back(message);
  };
  hooks.apply_entry = [&host](const consensus::LogEntry& entry) {
    host.store.Apply(entry.command);
  };
  hooks.take_snapshot = [&host] { return host.store.TakeSnapshot(); };
  hooks.restore_snapshot = [&host](const consensus::RaftSnapshot& snapshot) {
    (void)host.store.Restore(snapshot.state);
  };
  if (with_disk) {
    hooks.storage.append_entries = [&host](const auto&, const auto&) -> base::Result<void> {
      host.has_written = true;
      return {};
    };
    hooks.storage.save_snapshot = [](const auto&, const auto&, const auto&) -> base::Result<void> {
      return {};
    };
  }
  consensus::RecoveredState recovered;
  recovered.snapshot.membership = membership;
  host.node = std::make_unique<consensus::RaftNode>(
      HostId(std::to_string(number)), base::Incarnation(static_cast<uint64_t>(number) + 1),
      consensus::RaftSettings(), recovered, std::move(hooks));
}

void SimulatedGroup::AdvanceTime(Duration duration) {
  base::TimePoint end = this->clock.Now() + duration;
  while (this->clock.Now() < end) {
    this->Step();
  }
}

Duration SimulatedGroup::MeasureChange() {
  Host* leader = this->FindLeader();
  base::Version expected = leader->store.CurrentConfiguration()->version;
  configuration::ConfigurationChange change;
  change.id = base::ChangeId("change-" + std::to_string(this->next_change_number++));
  change.expected_version = expected;
  change.action = configuration::ConfigurationChange::PutTeam{
      base::TeamId("team-" + std::to_string(this->next_change_number % 550)), {}};
  base::TimePoint start = this->clock.Now();
  (void)leader->node->Propose(configuration::ConfigurationCodec::EncodeChange(change));
  while (!this->HaveAllApplied(expected.Next())) {
    this->Step();
  }
  return this->clock.Now() - start;
}

Duration SimulatedGroup::MaximumStaleness() {
  Duration maximum{0};
  for (auto& host : this->hosts) {
    maximum = std::max(maximum, this->clock.Now() - host->node->Status().up_to_date_as_of);
  }
  return maximum;
}

void SimulatedGroup::Step() {
  this->clock.Advance(kTimeStep);
  std::map<HostId, std::vector<RaftMessage>> arrived_messages;
  while (!this->in_flight_messages.empty() &&
         this->in_flight_messages.begin()->first <= this->clock.Now()) {
    RaftMessage message = std::move(this->in_flight_messages.begin()->second);
    this->in_flight_messages.erase(this->in_flight_messages.begin());
    arrived_messages[message.to].push_back(std::move(message));
  }
  Host* leader = this->FindLeader();
  for (size_t i = 0; i < this->hosts.size(); ++i) {
    Host& host = *this->hosts[i];
    bool is_leader = &host == leader;
    Duration time_before = ThreadProcessorTime();
    this->DeliverMessages(host, arrived_messages[HostId(std::to_string(i))]);
    Duration processor_time_used = ThreadProcessorTime() - time_before;
    this->processor_time += processor_time_used;
    this->leader_processor_time += is_leader ? processor_time_used : Duration(0);
    this->SendOutgoingMessages(host, is_leader);
  }
}

void SimulatedGroup::DeliverMessages(Host& host, const std::vector<RaftMessage>& arrived_messages) {
  constexpr int kTickSteps = 10;
  bool is_tick_due = this->clock.Now().time_since_epoch() / kTimeStep % kTickSteps == 0;
  if (arrived_messages.empty() && !is_tick_due && &host != this->FindLeader()) {
    return;
  }
  for (const RaftMessage& message : arrived_messages) {
    host.node->ReceiveMessage(message);
  }
  host.node->Tick();
  host.node->Flush();
}

void SimulatedGroup::SendOutgoingMessages(Host& host, bool is_leader) {
  Duration delay =
      kOneWayLatency + (std::exchange(host.has_written, false) ? kSyncedWriteLatency : Duration(0));
  for (RaftMessage& message : host.outgoing_messages) {
    uint64_t size = EstimatedMessageBytes(message);
    this->message_count += 1;
    this->byte_count += size;
    this->leader_message_count += is_leader ? 1 : 0;
    this->leader_byte_count += is_leader ? size : 0;
    this->in_flight_messages.emplace(this->clock.Now() + delay, std::move(message));
  }
  host.outgoing_messages.clear();
}

SimulatedGroup::Host* SimulatedGroup::FindLeader() {
  for (size_t i = 0; i < kVoterCount && i < this->hosts.size(); ++i) {
    if (this->hosts[i]->node->HasLeaderLease()) {
      return this->hosts[i].get();
    }
  }
  return nullptr;
}

bool SimulatedGroup::HaveAllApplied(base::Version version) {
  return std::all_of(this->hosts.begin(), this->hosts.end(), [&](const auto& host) {
    return host->store.CurrentConfiguration()->version >= version;
  });
}

}  // namespace sapphirecrank::bench
