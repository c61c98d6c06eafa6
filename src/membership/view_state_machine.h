#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "consensus/log_entry.h"

namespace sapphirecrank::membership {

/// The state machine by which the group of a data centre agrees on its views.
///
/// A view is a set of processes, so that a restarted host is another member. The leader proposes a
/// view when the processes that it reaches differ from the view for a while. A proposal names the
/// epoch that it replaces; one that comes too late changes nothing. Thread safety: none.
class ViewStateMachine {
 public:
  /// One start of one entry host.
  struct Member {
    base::HostId host;
    base::Incarnation incarnation;
    /// Empty where all members are of one data centre.
    base::DataCentreId data_centre{};

    friend bool operator==(const Member& a, const Member& b) {
      return a.host == b.host && a.incarnation == b.incarnation;
    }
    friend bool operator<(const Member& a, const Member& b) {
      return a.host == b.host ? a.incarnation < b.incarnation : a.host < b.host;
    }
  };

  /// Behaviour handed in; all members must be set.
  struct Hooks {
    base::Clock now;
    /// Processes that this host reaches, itself among them, in any order.
    std::function<std::vector<Member>()> reachable_members;
    /// Tells whether this host leads the group.
    std::function<bool()> is_leader;
    /// Proposes a command; it may be lost.
    std::function<void(std::string)> propose_command;
    /// Called with each view in the order of epochs.
    std::function<void(base::Epoch, const std::vector<Member>&)> on_view_agreed;
  };

  explicit ViewStateMachine(Hooks hooks);

  /// Proposes a view if one is due. To be called several times a second.
  void Tick();

  /// Applies a committed command. One that can't be decoded is ignored.
  void Apply(const std::string& command);

  /// Returns the state for a snapshot.
  std::string TakeSnapshot() const;

  /// Replaces the state by that of a snapshot; an empty text is the first state.
  void Restore(const std::string& state);

 private:
  void InstallView(base::Epoch next, std::vector<Member> agreed);

  Hooks hooks;
  base::Epoch epoch;
  std::vector<Member> members;
  // What this host reached at the last tick, and since when that has not changed.
  std::vector<Member> reachable_members;
  base::TimePoint reachable_since;
  base::TimePoint next_proposal_at;
};

}  // namespace sapphirecrank::membership
