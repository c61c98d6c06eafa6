#include "clusterhost/group_monitor.h"

#include <fmt/format.h>

#include <utility>

#include "cluster/member_name.h"
#include "cluster/planned_change.h"
#include "consensus/raft_status.h"
#include "observability/allocator_metrics.h"
#include "observability/log_field.h"
#include "observability/logger.h"

namespace sapphirecrank::clusterhost {

using base::HostId;
using consensus::MembershipChange;
using consensus::RaftMembership;

namespace {

// An election takes up to about a second.
constexpr base::Duration kLeaderLossReportDelay = std::chrono::seconds(2);
constexpr base::Duration kLeaderLossReportInterval = std::chrono::seconds(5);
constexpr base::Duration kGaugeInterval = std::chrono::seconds(1);

std::string JoinNames(const std::set<HostId>& members) {
  std::string text;
  for (const HostId& member : members) {
    text += (text.empty() ? "" : ",") + member.value();
  }
  return text;
}

const char* ChangeName(MembershipChange::Kind kind) {
  switch (kind) {
    case MembershipChange::Kind::kAddLearner:
      return "add_learner";
    case MembershipChange::Kind::kPromoteLearner:
      return "promote_learner";
    case MembershipChange::Kind::kRemoveMember:
      return "remove_member";
    case MembershipChange::Kind::kReplaceVoter:
      return "replace_voter";
  }
  return "unknown";
}

std::string Milliseconds(base::Duration duration) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

GroupMonitor::GroupMonitor(Hooks hooks, observability::Logger& logger,
                           observability::AllocatorMetrics& metrics)
    : hooks(std::move(hooks)),
      logger(logger),
      metrics(metrics),
      last_leader_at(this->hooks.now()) {}

void GroupMonitor::OnStatus(const HostId& self, const consensus::RaftStatus& status) {
  const bool is_committed = status.membership_index <= status.commit_index;
  if (!this->membership || *this->membership != status.membership ||
      this->membership_index != status.membership_index) {
    this->membership = status.membership;
    this->membership_index = status.membership_index;
    this->is_membership_committed = is_committed;
    this->LogMembership(
        is_committed ? "group membership committed" : "group membership not committed yet", self,
        status);
    this->next_gauge_update_at = this->hooks.now();
  } else if (is_committed && !std::exchange(this->is_membership_committed, true)) {
    this->LogMembership("group membership committed", self, status);
  }
  this->UpdateLeader(status);
  this->UpdateGauges(status);
}

void GroupMonitor::LogMembership(std::string_view message, const HostId& self,
                                 const consensus::RaftStatus& status) {
  this->logger.Info(message, {{"term", std::to_string(status.term.value())},
                              {"index", std::to_string(status.membership_index.value())},
                              {"voters", JoinNames(status.membership.voters)},
                              {"learners", JoinNames(status.membership.learners)},
                              {"outgoing_voters", JoinNames(status.membership.outgoing_voters)},
                              {"member", self.value()}});
}

void GroupMonitor::UpdateLeader(const consensus::RaftStatus& status) {
  const base::TimePoint now = this->hooks.now();
  const std::string leaderless_for = Milliseconds(now - this->last_leader_at);
  if (!status.leader.empty()) {
    this->last_leader_at = now;
    this->next_leaderless_report_at = now + kLeaderLossReportDelay;
    if (std::exchange(this->is_leader_loss_reported, false)) {
      this->logger.Info("the group has a leader again",
                        {{"leader", status.leader.value()},
                         {"term", std::to_string(status.term.value())},
                         {"without_leader_ms", leaderless_for}});
    }
    return;
  }
  if (now - this->last_leader_at < kLeaderLossReportDelay ||
      now < this->next_leaderless_report_at) {
    return;
  }
  this->next_leaderless_report_at = now + kLeaderLossReportInterval;
  this->is_leader_loss_reported = true;
  this->logger.Warning("the group has no leader",
                       {{"without_leader_ms", leaderless_for},
                        {"term", std::to_string(status.term.value())},
                        {"index", std::to_string(status.membership_index.value())},
                        {"voters", JoinNames(status.membership.voters)},
                        {"unreachable_voters", this->UnreachableVoters(status.membership)}});
}

std::string GroupMonitor::UnreachableVoters(const RaftMembership& membership) const {
  std::set<HostId> unreachable_voters;
  for (const HostId& voter : membership.AllVoters()) {
    if (!this->hooks.is_host_reachable(cluster::MemberName::ParseHost(voter))) {
      unreachable_voters.insert(voter);
    }
  }
  return JoinNames(unreachable_voters);
}

void GroupMonitor::UpdateGauges(const consensus::RaftStatus& status) {
  const base::TimePoint now = this->hooks.now();
  if (now < this->next_gauge_update_at) {
    return;
  }
  this->next_gauge_update_at = now + kGaugeInterval;
  size_t reachable_voters = 0;
  for (const HostId& voter : status.membership.voters) {
    reachable_voters +=
        this->hooks.is_host_reachable(cluster::MemberName::ParseHost(voter)) ? 1 : 0;
  }
  this->metrics.SetGroupMembers(status.membership.voters.size(), reachable_voters,
                                status.membership.learners.size());
  this->metrics.SetHasLeader(!status.leader.empty());
}

void GroupMonitor::OnMembershipChange(const cluster::PlannedChange& planned) {
  const char* change = ChangeName(planned.change.kind);
  this->metrics.OnMembershipChange(change);
  this->logger.Info(
      "changing the group membership",
      {{"change", change}, {"member", planned.change.host.value()}, {"reason", planned.reason}});
}

void GroupMonitor::OnPromotionDelayed(const HostId& learner, const std::string& reason) {
  this->logger.Warning("learner not promoted yet",
                       {{"member", learner.value()}, {"reason", reason}});
}

void GroupMonitor::OnRead(const base::Result<cluster::ConfigurationRecord>& result) {
  this->metrics.OnConfigurationRequest("read", result ? "served" : "failed");
  if (!result) {
    this->logger.Warning("configuration not read", {{"reason", result.error().message}});
  }
}

void GroupMonitor::OnChange(base::Version version, ProposalOutcome outcome, const HostId& leader) {
  const auto log_answer = [this, version, &leader](const char* text) {
    this->metrics.OnConfigurationRequest("change", text);
    this->logger.Info("configuration change answered",
                      {{"version", std::to_string(version.value())},
                       {"outcome", text},
                       {"leader", leader.value()}});
  };
  switch (outcome) {
    case ProposalOutcome::kCommitted:
      log_answer("committed");
      return;
    case ProposalOutcome::kNotLeader:
      log_answer("other_leader");
      return;
    case ProposalOutcome::kUnknown:
      this->metrics.OnConfigurationRequest("change", "not_confirmed");
      this->logger.Warning(
          "configuration change not confirmed",
          {{"version", std::to_string(version.value())},
           {"leader", leader.value()},
           {"reason", leader.empty() ? "the group has no leader" : "not committed in time"}});
      return;
  }
}

}  // namespace sapphirecrank::clusterhost
