#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace sapphirecrank::observability {

/// Counters of the task batches that a gateway moves between allocators, in Prometheus' text
/// format.
///
/// Thread safety: all methods may be called from any thread.
class PlacementMetrics {
 public:
  PlacementMetrics();
  ~PlacementMetrics();

  /// Counts tasks that were placed again as one batch. `cause` must be one of a few fixed values.
  void OnBatchMove(std::string_view cause);

  /// Counts a request to an allocator to return the waiting tasks of a batch.
  void OnBatchRecall();

  /// Returns all series in Prometheus' text format.
  std::string PrometheusText() const;

 private:
  class Impl;

  std::unique_ptr<Impl> impl;
};

}  // namespace sapphirecrank::observability
