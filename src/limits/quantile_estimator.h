#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/time.h"
#include "limits/units.h"

namespace sapphirecrank::limits {

/// Estimates a quantile of response times from a histogram whose older samples fade out.
///
/// Buckets grow by 2^(1/4), so that an estimate is at most 19 % too high, from 0.25 ms to 55 s.
/// Thread safety: none; the owner holds a lock.
class QuantileEstimator {
 public:
  /// Adds one response time; takes constant time on average.
  void AddSample(base::Duration elapsed);

  /// Returns a time that `delay_quantile` of the samples stay below, or none before the 20th
  /// sample.
  std::optional<base::Duration> Quantile(Percent quantile) const;

 private:
  static constexpr size_t kBucketCount = 72;

  static size_t BucketIndex(base::Duration elapsed);
  static base::Duration BucketUpperBound(size_t bucket);
  void HalveCounts();

  std::array<uint16_t, kBucketCount> bucket_counts{};
  int64_t sample_count = 0;
};

}  // namespace sapphirecrank::limits
