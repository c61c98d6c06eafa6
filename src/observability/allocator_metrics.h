#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "base/time.h"

namespace sapphirecrank::observability {

/// Counters and histograms of one allocator, in Prometheus' text format.
///
/// Thread safety: all methods may be called from any thread.
class AllocatorMetrics {
 public:
  AllocatorMetrics();
  ~AllocatorMetrics();

  /// Counts the result of a task batch. `outcome` must be one of a few fixed values.
  void OnBatchEnd(std::string_view outcome);

  /// Counts a decision about a run or a target. `decision` must be one of a few fixed values.
  void OnRunDecision(std::string_view decision);

  /// Records the time from the start of a call to a target until its response, or, without a
  /// response, until the call failed or timed out. `call` must be one of a few fixed values.
  void OnTargetCall(std::string_view call, bool has_response, base::Duration duration);

  /// Counts a read or a change of the configuration. Both arguments must be of a few fixed values.
  void OnConfigurationRequest(std::string_view operation, std::string_view outcome);

  /// Counts a membership change of the group that this host has proposed. `change` must be one of a
  /// few fixed values.
  void OnMembershipChange(std::string_view change);

  /// Sets how many members the group has, as far as this host knows, and how many of the voters it
  /// reaches, itself included.
  void SetGroupMembers(size_t voters, size_t reachable_voters, size_t learners);

  /// Sets whether this host knows a leader of the group.
  void SetHasLeader(bool has_leader);

  /// Counts an operator's order to start or finish an evacuation. Both arguments must be of a few
  /// fixed values.
  void OnEvacuationOrder(std::string_view order, std::string_view outcome);

  /// Sets since when a data centre is evacuated, and how many runs may be active there on this
  /// host's targets.
  void SetEvacuation(std::string_view data_centre, base::TimeOfDay since, size_t runs_left);

  /// Removes the series of an evacuation that has ended.
  void RemoveEvacuation(std::string_view data_centre);

  /// Returns all series in Prometheus' text format.
  std::string PrometheusText() const;

 private:
  class Impl;

  std::unique_ptr<Impl> impl;
};

}  // namespace sapphirecrank::observability
