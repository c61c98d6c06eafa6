#include "membership/member_table.h"

#include <algorithm>
#include <utility>

#include "base/mutex_lock.h"

namespace sapphirecrank::membership {

using base::Duration;
using base::HostId;
using base::Incarnation;
using base::SequenceNumber;
using base::TimePoint;

namespace {

constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(200);
constexpr Duration kSuspicionTimeout = std::chrono::seconds(1);
// After a pause of this process, all hosts seem to have been silent for long, although it sent them
// no heartbeats. So a host is suspected only if it has also left this many heartbeats unanswered.
constexpr size_t kMinimumUnansweredHeartbeats = 3;
// Responses to older heartbeats are ignored.
constexpr size_t kMaximumTrackedHeartbeats = 64;

}  // namespace

MemberTable::MemberTable(Hooks hooks) : hooks(std::move(hooks)) {}

void MemberTable::Add(const HostId& host) {
  const TimePoint now = this->hooks.now();
  Member member;
  member.last_alive_at = now;
  base::MutexLock lock(this->mutex);
  this->members.try_emplace(host, std::move(member));
}

void MemberTable::Remove(const HostId& host) {
  base::MutexLock lock(this->mutex);
  this->members.erase(host);
}

void MemberTable::Tick() {
  const TimePoint now = this->hooks.now();
  std::vector<std::pair<HostId, SequenceNumber>> heartbeats;
  std::vector<StateChange> changes;
  {
    base::MutexLock lock(this->mutex);
    for (auto& [host, member] : this->members) {
      if (member.state.liveness != Liveness::kSuspected && HasTimedOut(member, now)) {
        member.state.liveness = Liveness::kSuspected;
        changes.push_back({host, member.state});
      }
      if (now < member.next_heartbeat_at) {
        continue;
      }
      member.next_heartbeat_at = now + kHeartbeatInterval;
      this->last_sequence_number = this->last_sequence_number.Next();
      member.unanswered_heartbeats.push_back({this->last_sequence_number, now});
      if (member.unanswered_heartbeats.size() > kMaximumTrackedHeartbeats) {
        member.unanswered_heartbeats.pop_front();
      }
      heartbeats.emplace_back(host, this->last_sequence_number);
    }
  }
  for (const auto& [host, sequence_number] : heartbeats) {
    this->hooks.send_heartbeat(host, sequence_number);
  }
  this->NotifyChanges(changes);
}

void MemberTable::OnHeartbeatResponse(const HostId& host, SequenceNumber sequence_number,
                                      Incarnation incarnation) {
  const TimePoint now = this->hooks.now();
  std::vector<StateChange> changes;
  {
    base::MutexLock lock(this->mutex);
    auto found = this->members.find(host);
    if (found == this->members.end()) {
      return;
    }
    Member& member = found->second;
    const auto answered_heartbeat =
        std::find_if(member.unanswered_heartbeats.begin(), member.unanswered_heartbeats.end(),
                     [sequence_number](const Heartbeat& heartbeat) {
                       return heartbeat.sequence_number == sequence_number;
                     });
    if (answered_heartbeat == member.unanswered_heartbeats.end()) {
      return;
    }
    member.last_alive_at = answered_heartbeat->sent_at;
    member.unanswered_heartbeats.erase(member.unanswered_heartbeats.begin(),
                                       answered_heartbeat + 1);
    // A response that arrives a second or more after its heartbeat doesn't show that the host is
    // alive now.
    const bool is_recent = now - member.last_alive_at < kSuspicionTimeout;
    const MemberState state{is_recent ? Liveness::kAlive : member.state.liveness, incarnation};
    if (state != std::exchange(member.state, state)) {
      changes.push_back({host, state});
    }
  }
  this->NotifyChanges(changes);
}

MemberState MemberTable::FindState(const HostId& host) {
  base::MutexLock lock(this->mutex);
  auto found = this->members.find(host);
  return found == this->members.end() ? MemberState() : found->second.state;
}

std::vector<HostId> MemberTable::AliveHosts() {
  base::MutexLock lock(this->mutex);
  std::vector<HostId> alive_hosts;
  for (const auto& [host, member] : this->members) {
    if (member.state.liveness == Liveness::kAlive) {
      alive_hosts.push_back(host);
    }
  }
  return alive_hosts;
}

bool MemberTable::HasTimedOut(const Member& member, TimePoint now) {
  return now - member.last_alive_at >= kSuspicionTimeout &&
         member.unanswered_heartbeats.size() >= kMinimumUnansweredHeartbeats;
}

void MemberTable::NotifyChanges(const std::vector<StateChange>& changes) const {
  for (const StateChange& change : changes) {
    this->hooks.on_change(change.host, change.state);
  }
}

}  // namespace sapphirecrank::membership
