#pragma once

#include <cstddef>
#include <functional>
#include <map>

#include "base/ids.h"
#include "base/time.h"
#include "cluster/evacuation_order.h"
#include "cluster/evacuation_state.h"
#include "clusterhost/proposal_outcome.h"

namespace sapphirecrank::observability {
class AllocatorMetrics;
class Logger;
}  // namespace sapphirecrank::observability

namespace sapphirecrank::clusterhost {

/// Writes to the log and the metrics which data centres are being evacuated as an allocator knows
/// it, how the orders of operators ended, and when the allocator may start no runs because it can't
/// know the newest orders.
///
/// Thread safety: none for `OnStateChange`, `OnStartLimit` and `UpdateMetrics`, which run on the
/// group's thread; `OnOrderAnswered` may be called from any thread.
class EvacuationMonitor {
 public:
  /// Functions that this class calls. All members must be set.
  struct Hooks {
    base::Clock now;
    /// Returns how many runs may be active on this host's targets, by data centre.
    std::function<std::map<base::DataCentreId, size_t>()> run_counts;
  };

  /// Precondition: `logger` and `metrics` outlive this object.
  EvacuationMonitor(Hooks hooks, observability::Logger& logger,
                    observability::AllocatorMetrics& metrics);

  /// This host acts on `state` from now on. Writes a line if its revision is new.
  void OnStateChange(const cluster::EvacuationState& state);

  /// This host starts no runs later than `limit`. `up_to_date_as_of` is the time up to which it
  /// knows all orders. Writes a line when it has passed the limit, and when it may start runs
  /// again.
  void OnStartLimit(base::TimePoint limit, base::TimePoint up_to_date_as_of);

  /// Updates the metrics. To be called regularly; does nothing more than once a second.
  void UpdateMetrics();

  /// An operator's order has ended. `leader` is the known leader, or empty.
  void OnOrderAnswered(const cluster::EvacuationOrder& order, ProposalOutcome outcome,
                       const base::HostId& leader);

 private:
  Hooks hooks;
  observability::Logger& logger;
  observability::AllocatorMetrics& metrics;
  cluster::EvacuationState state;
  // A process starts no runs before its first confirmation.
  bool is_past_start_limit = true;
  base::TimePoint next_metrics_update_at;
};

}  // namespace sapphirecrank::clusterhost
