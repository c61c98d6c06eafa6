#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "cluster/configuration_record.h"
#include "clusterhost/proposal_outcome.h"
#include "consensus/raft_membership.h"

namespace sapphirecrank::cluster {
struct PlannedChange;
}  // namespace sapphirecrank::cluster

namespace sapphirecrank::consensus {
struct RaftStatus;
}  // namespace sapphirecrank::consensus

namespace sapphirecrank::observability {
class AllocatorMetrics;
class Logger;
}  // namespace sapphirecrank::observability

namespace sapphirecrank::clusterhost {

/// Writes to the log and the metrics what an allocator knows of its group: the voters, whether
/// there is a leader, why members change, and why the configuration can't be read or changed.
///
/// Thread safety: none for the methods that handle the status and decisions of the group, which run
/// on its thread; `OnRead` and `OnChange` may be called from any thread.
class GroupMonitor {
 public:
  /// Functions that this class calls. All members must be set.
  struct Hooks {
    base::Clock now;
    std::function<bool(const base::HostId&)> is_host_reachable;
  };

  /// Precondition: `logger` and `metrics` outlive this object.
  GroupMonitor(Hooks hooks, observability::Logger& logger,
               observability::AllocatorMetrics& metrics);

  /// Handles the present status of the group. `self` is this host's name in the group. To be called
  /// regularly; writes lines only when the membership changes or is committed, and while there is
  /// no leader.
  void OnStatus(const base::HostId& self, const consensus::RaftStatus& status);

  /// This host has proposed a membership change as leader.
  void OnMembershipChange(const cluster::PlannedChange& planned);

  /// A learner that should become a voter can't yet.
  void OnPromotionDelayed(const base::HostId& learner, const std::string& reason);

  /// A read of the configuration has ended.
  void OnRead(const base::Result<cluster::ConfigurationRecord>& result);

  /// A change of the configuration to `version` has ended. `leader` is the known leader, or empty.
  void OnChange(base::Version version, ProposalOutcome outcome, const base::HostId& leader);

 private:
  void LogMembership(std::string_view message, const base::HostId& self,
                     const consensus::RaftStatus& status);
  void UpdateLeader(const consensus::RaftStatus& status);
  std::string UnreachableVoters(const consensus::RaftMembership& membership) const;
  void UpdateGauges(const consensus::RaftStatus& status);

  Hooks hooks;
  observability::Logger& logger;
  observability::AllocatorMetrics& metrics;
  std::optional<consensus::RaftMembership> membership;
  base::LogIndex membership_index;
  bool is_membership_committed = false;
  base::TimePoint last_leader_at;
  base::TimePoint next_leaderless_report_at;
  bool is_leader_loss_reported = false;
  base::TimePoint next_gauge_update_at;
};

}  // namespace sapphirecrank::clusterhost
