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

/// Failure detector for the other entry hosts of a data centre, based on answered heartbeats.
///
/// Only a response to this host's own heartbeat shows that a host is alive. A heartbeat of the
/// other host doesn't, because it also arrives if only the link to that host has failed. Thread
/// safety: all methods may be called from any thread; the hooks run without a lock.
class MemberTable {
 public:
  /// Functions that this class calls. All members must be set.
  struct Hooks {
    /// Returns the current time.
    base::Clock now;
    /// Sends a heartbeat with the given sequence number, which the response repeats.
    std::function<void(const base::HostId&, base::SequenceNumber)> send_heartbeat;
    /// Called with the new state after each change of liveness or incarnation. Calls from several
    /// threads may be in another order than the changes; `FindState` returns the latest state.
    std::function<void(const base::HostId&, const MemberState&)> on_change;
  };

  /// Creates an empty table.
  explicit MemberTable(Hooks hooks);

  /// Adds a host. It has a second to respond to its first heartbeat. Does nothing for a host that
  /// is already in the table.
  void Add(const base::HostId& host) EXCLUDES(mutex);

  /// Removes a host without calling `on_change`.
  void Remove(const base::HostId& host) EXCLUDES(mutex);

  /// Sends the heartbeats that are due, one to each host every 200 ms. Suspects hosts that have not
  /// responded for a second. To be called at least every 50 ms.
  void Tick() EXCLUDES(mutex);

  /// Records the response of a host to a heartbeat. Ignores a response to a heartbeat that is older
  /// than the newest answered one, or that was never sent.
  void OnHeartbeatResponse(const base::HostId& host, base::SequenceNumber sequence_number,
                           base::Incarnation incarnation) EXCLUDES(mutex);

  /// Returns the state of a host; the default state if the host isn't in the table.
  MemberState FindState(const base::HostId& host) EXCLUDES(mutex);

  /// Returns the hosts that are alive, in no particular order.
  std::vector<base::HostId> AliveHosts() EXCLUDES(mutex);

 private:
  struct Heartbeat {
    base::SequenceNumber sequence_number;
    base::TimePoint sent_at;
  };

  struct Member {
    MemberState state;
    // Oldest first; at most kMaximumTrackedHeartbeats.
    std::deque<Heartbeat> unanswered_heartbeats;
    // Time when the newest answered heartbeat was sent, or when the host was added.
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
