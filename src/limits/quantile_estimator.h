#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/time.h"
#include "limits/units.h"

namespace sapphirecrank::limits {

/// Estimates quantiles of response times from a histogram in which older samples lose weight.
///
/// The upper bound of each bucket is 2^(1/4) times that of the one before, so that an estimate
/// between 0.25 ms and 55 s is at most 19 % too high.
/// Thread safety: none; the owner holds a lock.
class QuantileEstimator {
 public:
  /// Adds one response time. Takes amortised constant time.
  void AddSample(base::Duration response_time);

  /// Returns a time that `quantile` percent of the samples don't exceed, or none before the 20th
  /// sample.
  std::optional<base::Duration> Quantile(Percent quantile) const;

 private:
  static constexpr size_t kBucketCount = 72;

  static size_t BucketIndex(base::Duration response_time);
  static base::Duration BucketUpperBound(size_t bucket);
  void HalveCounts();

  std::array<uint16_t, kBucketCount> bucket_counts{};
  int64_t sample_count = 0;
};

}  // namespace sapphirecrank::limits
