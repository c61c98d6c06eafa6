#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "cluster/cluster_view.h"
#include "cluster/configuration_record.h"
#include "membership/view_state_machine.h"

namespace sapphirecrank::cluster {

/// The replicated state of a cluster: the configuration in force, the view of its allocators and
/// the stored jobs, which another class holds.
///
/// Of configurations the highest version wins; one that isn't higher changes nothing. Thread
/// safety: none.
class ClusterState {
 public:
  /// Behaviour handed in; all members must be set.
  struct Hooks {
    base::Clock now;
    /// Allocators that this host reaches, itself among them.
    std::function<std::vector<ClusterView::Member>()> reachable_members;
    std::function<bool()> is_leader;
    /// Proposes a command; it may be lost.
    std::function<void(std::string)> propose_command;
    /// The state has changed.
    std::function<void()> on_state_change;
    /// Applies a committed command of the stored jobs.
    std::function<void(const std::string&)> apply_jobs_command;
    std::function<std::string()> take_jobs_snapshot;
    std::function<void(const std::string&)> restore_jobs_snapshot;
  };

  explicit ClusterState(Hooks hooks);

  /// Returns the command that puts a configuration in force.
  static std::string EncodeConfigurationCommand(const ConfigurationRecord& record);

  /// Returns the command that applies `change` to the stored jobs.
  static std::string EncodeJobsCommand(const std::string& change);

  /// Proposes a view if one is due. To be called several times a second.
  void Tick();

  /// Applies a committed command. One that can't be decoded is ignored.
  void Apply(const std::string& command);

  std::string TakeSnapshot() const;
  void Restore(const std::string& state);

  const ConfigurationRecord& configuration() const { return this->configuration_record; }
  const ClusterView& view() const { return this->current_view; }

 private:
  Hooks hooks;
  ConfigurationRecord configuration_record;
  ClusterView current_view;
  membership::ViewStateMachine view_state_machine;
};

}  // namespace sapphirecrank::cluster
