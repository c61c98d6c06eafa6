#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "consensus/log_entry.h"

namespace sapphirecrank::membership {

/// The replicated state machine by which the group of a data centre agrees on its views.
///
/// A view is a set of processes, so a restarted host is a new member. The leader proposes a new
/// view when the processes that it reaches differ from the current view and have been the same for
/// a while. A proposal contains the epoch that it replaces, and has no effect if that epoch is no
/// longer current. Thread safety: none.
class ViewStateMachine {
 public:
  /// One process: an entry host and the incarnation of its start.
  struct Member {
    base::HostId host;
    base::Incarnation incarnation;
    /// Empty if all members are in one data centre. Not compared.
    base::DataCentreId data_centre{};

    friend bool operator==(const Member& a, const Member& b) {
      return a.host == b.host && a.incarnation == b.incarnation;
    }
    friend bool operator<(const Member& a, const Member& b) {
      return a.host == b.host ? a.incarnation < b.incarnation : a.host < b.host;
    }
  };

  /// Functions that this class calls. All members must be set.
  struct Hooks {
    /// Returns the current time.
    base::Clock now;
    /// Returns the processes that this host reaches, including its own, in any order.
    std::function<std::vector<Member>()> reachable_members;
    /// Tells whether this host leads the group.
    std::function<bool()> is_leader;
    /// Proposes a command; it may be lost.
    std::function<void(std::string)> propose_command;
    /// Called with each view when it is agreed on, in the order of epochs. `Restore` calls it only
    /// with the view of the snapshot, so epochs may be skipped.
    std::function<void(base::Epoch, const std::vector<Member>&)> on_view_agreed;
  };

  explicit ViewStateMachine(Hooks hooks);

  /// Proposes a view if one is due. To be called several times a second.
  void Tick();

  /// Applies a committed command. Ignores a command that can't be decoded.
  void Apply(const std::string& command);

  /// Returns the state for a snapshot.
  std::string TakeSnapshot() const;

  /// Replaces the state by that of a snapshot. Ignores a snapshot that is empty, can't be decoded
  /// or doesn't have a higher epoch.
  void Restore(const std::string& state);

 private:
  void InstallView(base::Epoch next_epoch, std::vector<Member> agreed_members);

  Hooks hooks;
  base::Epoch epoch;
  std::vector<Member> members;
  // Members that this host reached at the last tick.
  std::vector<Member> reachable_members;
  // Time since which `reachable_members` is unchanged.
  base::TimePoint reachable_since;
  base::TimePoint next_proposal_at;
};

}  // namespace sapphirecrank::membership
