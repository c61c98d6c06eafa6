#pragma once

#include <deque>
#include <functional>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/mutex.h"
#include "base/time.h"
#include "membership/member_state.h"

namespace sapphirecrank::membership {

/// Liveness of the other entry hosts of a data centre, from answered heartbeats.
///
/// Only an answer to this host's own heartbeat counts as a sign of life, because a link that is
/// silent in one direction still delivers the other host's heartbeats. Thread safety: all methods
/// may be called from any thread; hooks run without a lock.
class MemberTable {
 public:
  /// Behaviour handed in; all members must be set.
  struct Hooks {
    /// Current time.
    base::Clock now;
    /// Sends a heartbeat, whose answer repeats the sequence.
    std::function<void(const base::HostId&, base::SequenceNumber)> send_heartbeat;
    /// Called with the new state after each change of liveness or incarnation. Calls for changes
    /// on several threads may come in another order; `State` returns the newest.
    std::function<void(const base::HostId&, const MemberState&)> on_change;
  };

  /// Creates an empty table.
  explicit MemberTable(Hooks hooks);

  /// Adds a host, which has a second to answer its first heartbeat. A known one is left as it is.
  void Add(const base::HostId& host) EXCLUDES(mutex);

  /// Forgets a host; `on_change` is not called.
  void Remove(const base::HostId& host) EXCLUDES(mutex);

  /// Sends the heartbeats that are due, one to each host every 200 ms, and suspects hosts that have
  /// been silent for a second. Call it at least every 50 ms.
  void Tick() EXCLUDES(mutex);

  /// Takes in the answer of a host to one of this host's heartbeats. An answer to an older
  /// heartbeat than the newest answered one, or to none that was sent, is ignored.
  void OnHeartbeatResponse(const base::HostId& host, base::SequenceNumber sequence,
                           base::Incarnation incarnation) EXCLUDES(mutex);

  /// Returns the state of a host; unknown for one that isn't in the table.
  MemberState FindState(const base::HostId& host) EXCLUDES(mutex);

  /// Returns the hosts that are alive, in no order.
  std::vector<base::HostId> AliveHosts() EXCLUDES(mutex);

 private:
  struct Heartbeat {
    base::SequenceNumber sequence_number;
    base::TimePoint sent_at;
  };

  struct Member {
    MemberState state;
    // Unanswered ones, oldest first, at most kLongestHistory.
    std::deque<Heartbeat> unanswered_heartbeats;
    // When the newest answered heartbeat was sent, or the host was added.
    base::TimePoint last_alive_at;
    base::TimePoint next_heartbeat_at;
  };

  struct StateChange {
    base::HostId host;
    MemberState state;
  };

  static bool HasTimedOut(const Member& member, base::TimePoint now);
  void NotifyChanges(const std::vector<StateChange>& changes) const;

  Hooks hooks;
  base::Mutex mutex;
  std::unordered_map<base::HostId, Member> members GUARDED_BY(mutex);
  base::SequenceNumber last_sequence_number GUARDED_BY(mutex);
};

}  // namespace sapphirecrank::membership
