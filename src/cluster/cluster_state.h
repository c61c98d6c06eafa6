#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "cluster/cluster_view.h"
#include "cluster/configuration_record.h"
#include "cluster/evacuation_state.h"
#include "membership/view_state_machine.h"

namespace sapphirecrank::cluster {

/// The replicated state machine of a cluster: the configuration in force, the view of the
/// allocators, the evacuated data centres, and the stored jobs, which are kept behind the hooks.
///
/// A configuration replaces the one in force only if its version is higher. Thread safety: none.
class ClusterState {
 public:
  /// Functions that this class calls. All members must be set.
  struct Hooks {
    base::Clock now;
    /// Returns the allocators that this host reaches, including itself.
    std::function<std::vector<ClusterView::Member>()> reachable_members;
    /// Tells whether this host leads the group.
    std::function<bool()> is_leader;
    /// Proposes a command; it may be lost.
    std::function<void(std::string)> propose_command;
    /// Called after the configuration, the view or the evacuations have changed.
    std::function<void()> on_state_change;
    /// Applies a committed command to the stored jobs.
    std::function<void(const std::string&)> apply_jobs_command;
    /// Returns a snapshot of the stored jobs.
    std::function<std::string()> take_jobs_snapshot;
    /// Replaces the stored jobs by those of a snapshot, which may be empty.
    std::function<void(const std::string&)> restore_jobs_snapshot;
  };

  explicit ClusterState(Hooks hooks);

  /// Returns the command that puts the configuration `record` in force.
  static std::string EncodeConfigurationCommand(const ConfigurationRecord& record);

  /// Returns the command that applies `change` to the stored jobs.
  static std::string EncodeJobsCommand(const std::string& change);

  /// Returns the command that carries out `order`.
  static std::string EncodeEvacuationCommand(const EvacuationOrder& order);

  /// Proposes a view if one is due. To be called several times a second.
  void Tick();

  /// Applies a committed command. Ignores a command that can't be decoded.
  void Apply(const std::string& command);

  /// Returns the state for a snapshot.
  std::string TakeSnapshot() const;

  /// Restores the state of a snapshot. Ignores a snapshot that is empty or can't be decoded, and a
  /// configuration, view or evacuations that aren't newer than the current ones.
  void Restore(const std::string& state);

  const ConfigurationRecord& configuration() const { return this->configuration_record; }
  const ClusterView& view() const { return this->current_view; }
  const EvacuationState& evacuations() const { return this->evacuation_state; }

 private:
  Hooks hooks;
  ConfigurationRecord configuration_record;
  ClusterView current_view;
  EvacuationState evacuation_state;
  membership::ViewStateMachine view_state_machine;
};

}  // namespace sapphirecrank::cluster
