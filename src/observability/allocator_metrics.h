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

  /// Notes the end of a part that a gateway had placed. `outcome` is one of a few constants.
  void OnBatchEnd(std::string_view outcome);

  /// Notes a decision about a run or a target. `decision` is one of a few constants.
  void OnRunDecision(std::string_view decision);

  /// Notes that a target, or its silence, has ended a call after `age`. `call_entry_host` is one of
  /// a few constants.
  void OnTargetCall(std::string_view call, bool has_answer, base::Duration age);

  /// Returns all series in Prometheus' text format.
  std::string PrometheusText() const;

 private:
  class Impl;

  std::unique_ptr<Impl> impl;
};

}  // namespace sapphirecrank::observability
