#pragma once

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

  /// Returns all series in Prometheus' text format.
  std::string PrometheusText() const;

 private:
  class Impl;

  std::unique_ptr<Impl> impl;
};

}  // namespace sapphirecrank::observability
