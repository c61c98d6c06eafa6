#pragma once

#include <functional>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "jobs/membership_view.h"
#include "jobs/replica_hosts.h"

namespace sapphirecrank::jobs {

/// The views that one entry host has been told, without gaps, up to the one in force.
///
/// Immutable but for `Add` and `Replace`. Thread safety: const methods may be called from any
/// thread as long as no thread calls these.
class ViewHistory {
 public:
  /// Returns the first two hosts for an id among the given ones. Must be pure.
  using ReplicaHostSelector =
      std::function<ReplicaHosts(const base::SubmissionId&, const std::vector<base::HostId>&)>;

  /// Creates an empty history for the process `self`.
  ViewHistory(MembershipView::Member self, ReplicaHostSelector holders, base::Duration settle_time);

  /// Appends a view learned at `now` and forgets views replaced more than `keep` ago. If views are
  /// missing before it, the history starts anew with it. Precondition: its epoch is above
  /// `epoch()`.
  void AddView(const MembershipView& view, base::TimePoint now, base::Duration keep);

  /// Tells whether the view in force has this member's host with another incarnation.
  bool HasEarlierIncarnationOf(const MembershipView::Member& member) const;

  /// Puts a member into the view in force in place of the earlier start of the same host.
  /// Precondition: `HasEarlierIncarnationOf` holds.
  void ReplaceMember(const MembershipView::Member& member);

  /// Returns the epoch in force, or 0 if there is no view yet.
  base::Epoch current_epoch() const;

  /// Returns the number of hosts in the view in force.
  size_t current_host_count() const;

  /// Tells whether no view is missing between the one of `earlier` and the one in force.
  bool IsContiguousWith(base::Epoch earlier) const;

  /// Tells whether `member` is in the view in force.
  bool ContainsMember(const MembershipView::Member& member) const;

  /// Tells whether this process is in the view in force.
  bool ContainsSelf() const { return this->ContainsMember(this->self); }

  /// Returns owner and backup of new submissions with this id in the view in force.
  ReplicaHosts ReplicaHostsOf(const base::SubmissionId& id) const;

  /// Returns the member to back up a job owned by `owner`: the first in the id's order of
  /// preference that is not the owner; its host is empty if there is none.
  MembershipView::Member BackupFor(const base::SubmissionId& id, const base::HostId& owner) const;

  /// Tells whether this process was owner or backup of the id in each view under which it can have
  /// been accepted, if it was created at `created` or later. Then a job that this process doesn't
  /// know has never been accepted under an earlier view and never will be.
  bool WasReplicaHostSince(const base::SubmissionId& id, base::TimePoint created) const;

 private:
  struct ViewEntry {
    base::Epoch epoch;
    bool contains_self = false;
    bool is_initial = false;
    std::vector<MembershipView::Member> members;
    std::vector<base::HostId> hosts;
    base::TimePoint learned_at;
  };

  bool WasReplicaHostIn(const ViewEntry& entry, const base::SubmissionId& id) const;

  MembershipView::Member self;
  ReplicaHostSelector select_replica_hosts;
  base::Duration view_transition_time;
  std::vector<ViewEntry> views;
};

}  // namespace sapphirecrank::jobs
