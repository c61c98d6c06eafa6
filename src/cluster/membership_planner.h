#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "cluster/planned_change.h"
#include "consensus/raft_membership.h"

namespace sapphirecrank::cluster {

/// Plans the membership changes of the group for its leader: hosts that ask to join become
/// learners, learners become voters until there are enough voters, and voters that are lost or that
/// leave are replaced. Voters are spread over the data centres.
///
/// A voter is replaced in one change, which needs neither it nor its successor: the voter may never
/// return, and the successor may be lost as well while the loss still counts. A voter whose disk is
/// known to be lost is removed first.
///
/// Thread safety: none.
class MembershipPlanner {
 public:
  struct Settings {
    /// Number of voters to reach.
    size_t desired_voter_count = 3;
    /// A voter that has been unreachable for this long is replaced if another host is available.
    base::Duration replacement_delay{0};
    /// A learner that has been unreachable for this long is removed. It joins again when it
    /// returns.
    base::Duration learner_removal_delay{0};
  };

  /// Functions that this class calls. All members must be set. Hosts are given by their address,
  /// members by their name in the group.
  struct Hooks {
    std::function<bool(const base::HostId& host)> is_reachable;
    /// Returns for how long a member hasn't responded to this host as leader, otherwise 0. Another
    /// host may have the address of a lost one, and doesn't respond for its member.
    std::function<base::Duration(const base::HostId& member)> silence;
    /// Tells whether a host has announced that it is stopping.
    std::function<bool(const base::HostId& host)> is_leaving;
    /// Returns an empty id if the data centre isn't known.
    std::function<base::DataCentreId(const base::HostId& host)> data_centre;
    /// Returns an error with the reason if the learner can't become a voter now.
    std::function<base::Result<void>(const base::HostId& learner)> check_promotion;
    /// A learner is to become a voter, but none of the candidates can now; names one of them.
    std::function<void(const base::HostId& learner, const std::string& reason)>
        on_promotion_delayed;
  };

  MembershipPlanner(Settings settings, Hooks hooks);

  /// Records the join request of `member`, received at `now`.
  void OnJoinRequest(const base::HostId& member, base::TimePoint now);

  /// Records which members are reachable. To be called on all hosts several times per second, so
  /// that a new leader knows how long a voter has been unreachable.
  void ObserveMembers(const consensus::RaftMembership& membership, base::TimePoint now);

  /// Returns the next membership change, if one is due. `self` is the leader's name in the group.
  /// Precondition: `ObserveMembers` was called with the same arguments.
  std::optional<PlannedChange> NextChange(const base::HostId& self,
                                          const consensus::RaftMembership& membership,
                                          base::TimePoint now);

 private:
  using VoterCounts = std::map<base::DataCentreId, size_t>;

  bool IsReachable(const base::HostId& member) const;
  bool IsLeaving(const base::HostId& member) const;
  base::DataCentreId DataCentreOf(const base::HostId& member) const;
  /// Tells whether the member's host has asked to join under another name since it last asked under
  /// this one, so that this member's disk is lost.
  bool IsSuperseded(const base::HostId& member, base::TimePoint now) const;
  bool HasBeenUnreachableFor(const base::HostId& member, base::Duration duration,
                             base::TimePoint now) const;
  bool MustBeReplaced(const base::HostId& voter, base::TimePoint now) const;
  VoterCounts CountVoters(const consensus::RaftMembership& membership, base::TimePoint now) const;

  std::optional<PlannedChange> RemoveMemberWithLostDisk(const consensus::RaftMembership& membership,
                                                        base::TimePoint now) const;
  std::optional<PlannedChange> AddLearner(const consensus::RaftMembership& membership,
                                          base::TimePoint now) const;
  std::optional<PlannedChange> RemoveSurplusVoter(const base::HostId& self,
                                                  const consensus::RaftMembership& membership,
                                                  base::TimePoint now) const;
  std::optional<PlannedChange> PromoteLearner(const consensus::RaftMembership& membership,
                                              base::TimePoint now) const;
  std::optional<PlannedChange> ReplaceLostVoter(const base::HostId& self,
                                                const consensus::RaftMembership& membership,
                                                base::TimePoint now) const;
  std::optional<PlannedChange> SpreadVoters(const base::HostId& self,
                                            const consensus::RaftMembership& membership,
                                            base::TimePoint now) const;
  /// Returns the voter, other than the leader, in the data centre with the most voters.
  std::optional<base::HostId> MostCrowdedVoter(const base::HostId& self,
                                               const consensus::RaftMembership& membership,
                                               const VoterCounts& voter_counts) const;
  /// Returns a learner that can become a voter now. Reports it if there are only others.
  std::optional<base::HostId> ChooseSuccessor(const consensus::RaftMembership& membership,
                                              base::TimePoint now) const;
  std::optional<PlannedChange> RemoveLostLearner(const consensus::RaftMembership& membership,
                                                 base::TimePoint now) const;
  /// Returns the learners that may take a vote, the one in the data centre with the fewest voters
  /// first.
  std::vector<base::HostId> PromotionCandidates(const consensus::RaftMembership& membership,
                                                const VoterCounts& voter_counts) const;

  Settings settings;
  Hooks hooks;
  // Time of the latest join request of each member.
  std::map<base::HostId, base::TimePoint> join_requests;
  // Time when each member was last reachable, or was first seen as a member.
  std::map<base::HostId, base::TimePoint> last_reachable_at;
  base::TimePoint last_observed_at;
};

}  // namespace sapphirecrank::cluster
