#pragma once

#include <functional>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "jobs/membership_view.h"
#include "jobs/replica_hosts.h"

namespace sapphirecrank::jobs {

/// The successive views that one entry host has learned of, without gaps, up to the current one.
///
/// Thread safety: const methods may be called from any thread as long as no thread calls `AddView`
/// or `ReplaceMember`.
class ViewHistory {
 public:
  /// Returns the first two of the given hosts in the id's order of preference. Must be pure.
  using ReplicaHostSelector =
      std::function<ReplicaHosts(const base::SubmissionId&, const std::vector<base::HostId>&)>;

  /// Creates an empty history for the process `self`.
  ViewHistory(MembershipView::Member self, ReplicaHostSelector select_replica_hosts,
              base::Duration view_transition_time);

  /// Appends a view learned at `now` and removes views that were replaced more than `retention`
  /// ago. If views are missing before it, the history restarts with it. Precondition: its epoch is
  /// above `current_epoch()`.
  void AddView(const MembershipView& view, base::TimePoint now, base::Duration retention);

  /// Tells whether the current view has this member's host with another incarnation.
  bool HasOtherIncarnationOf(const MembershipView::Member& member) const;

  /// Replaces the other incarnation of a member's host in the current view. Precondition:
  /// `HasOtherIncarnationOf(member)`.
  void ReplaceMember(const MembershipView::Member& member);

  /// Returns the current epoch, or 0 if there is no view yet.
  base::Epoch current_epoch() const;

  /// Returns the number of hosts in the current view, or 0 if there is none yet.
  size_t current_host_count() const;

  /// Tells whether no view is missing between the one of `earlier` and the current one.
  bool IsContiguousWith(base::Epoch earlier) const;

  /// Tells whether `member` is in the current view.
  bool ContainsMember(const MembershipView::Member& member) const;

  /// Tells whether this process is in the current view.
  bool ContainsSelf() const { return this->ContainsMember(this->self); }

  /// Returns the owner and the backup of a new submission with this id in the current view; both
  /// are empty if there is no view yet.
  ReplicaHosts ReplicaHostsOf(const base::SubmissionId& id) const;

  /// Returns the backup for a job of `owner`: the first member in the id's order of preference that
  /// is not the owner. Its host is empty if there is none.
  MembershipView::Member BackupFor(const base::SubmissionId& id, const base::HostId& owner) const;

  /// Tells whether this process was owner or backup of the id in each view under which the id can
  /// have been accepted, if it was created at `created` or later. If so, and this process doesn't
  /// know a job with this id, none was accepted under an earlier view and none will be.
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
