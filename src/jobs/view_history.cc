#include "jobs/view_history.h"

#include <algorithm>
#include <utility>

namespace sapphirecrank::jobs {

ViewHistory::ViewHistory(MembershipView::Member self, ReplicaHostSelector select_replica_hosts,
                         base::Duration view_transition_time)
    : self(std::move(self)),
      select_replica_hosts(std::move(select_replica_hosts)),
      view_transition_time(view_transition_time) {}

void ViewHistory::AddView(const MembershipView& view, base::TimePoint now,
                          base::Duration retention) {
  if (!this->views.empty() && this->current_epoch().Next() != view.epoch) {
    this->views.clear();
  }
  // A view is needed until `retention` has passed since its successor was learned.
  while (this->views.size() > 1 && this->views[1].learned_at + retention < now) {
    this->views.erase(this->views.begin());
  }
  ViewEntry entry;
  entry.epoch = view.epoch;
  entry.is_initial = view.is_initial;
  entry.members = view.members;
  entry.learned_at = now;
  for (const MembershipView::Member& member : view.members) {
    entry.hosts.push_back(member.host);
    entry.contains_self = entry.contains_self || member == this->self;
  }
  this->views.push_back(std::move(entry));
}

base::Epoch ViewHistory::current_epoch() const {
  return this->views.empty() ? base::Epoch() : this->views.back().epoch;
}

size_t ViewHistory::current_host_count() const {
  return this->views.empty() ? 0 : this->views.back().hosts.size();
}

bool ViewHistory::IsContiguousWith(base::Epoch earlier) const {
  return earlier == this->current_epoch() || earlier.Next() == this->current_epoch();
}

bool ViewHistory::HasOtherIncarnationOf(const MembershipView::Member& member) const {
  if (this->views.empty()) {
    return false;
  }
  const std::vector<MembershipView::Member>& members = this->views.back().members;
  return std::any_of(members.begin(), members.end(),
                     [&](const MembershipView::Member& current_member) {
                       return current_member.host == member.host &&
                              current_member.incarnation != member.incarnation;
                     });
}

void ViewHistory::ReplaceMember(const MembershipView::Member& member) {
  for (MembershipView::Member& current_member : this->views.back().members) {
    if (current_member.host == member.host) {
      current_member = member;
    }
  }
}

bool ViewHistory::ContainsMember(const MembershipView::Member& member) const {
  if (this->views.empty()) {
    return false;
  }
  const std::vector<MembershipView::Member>& members = this->views.back().members;
  return std::find(members.begin(), members.end(), member) != members.end();
}

ReplicaHosts ViewHistory::ReplicaHostsOf(const base::SubmissionId& id) const {
  return this->views.empty() ? ReplicaHosts()
                             : this->select_replica_hosts(id, this->views.back().hosts);
}

MembershipView::Member ViewHistory::BackupFor(const base::SubmissionId& id,
                                              const base::HostId& owner) const {
  ReplicaHosts replica_hosts = this->ReplicaHostsOf(id);
  const base::HostId& backup =
      replica_hosts.owner == owner ? replica_hosts.backup : replica_hosts.owner;
  if (!backup.empty()) {
    for (const MembershipView::Member& member : this->views.back().members) {
      if (member.host == backup) {
        return member;
      }
    }
  }
  return MembershipView::Member();
}

bool ViewHistory::WasReplicaHostSince(const base::SubmissionId& id, base::TimePoint created) const {
  for (size_t i = this->views.size(); i > 0; --i) {
    const ViewEntry& entry = this->views[i - 1];
    if (!this->WasReplicaHostIn(entry, id)) {
      return false;
    }
    // Under an earlier view the id can have been accepted until the leases of that view had ended.
    if (entry.is_initial || created > entry.learned_at + this->view_transition_time) {
      return true;
    }
  }
  return false;
}

bool ViewHistory::WasReplicaHostIn(const ViewEntry& entry, const base::SubmissionId& id) const {
  if (!entry.contains_self) {
    return false;
  }
  ReplicaHosts replica_hosts = this->select_replica_hosts(id, entry.hosts);
  return replica_hosts.owner == this->self.host || replica_hosts.backup == this->self.host;
}

}  // namespace sapphirecrank::jobs
