#include "limits/quantile_estimate.h"

#include <algorithm>
#include <cmath>

namespace sapphirecrank::limits {

using base::Duration;

namespace {

constexpr int64_t kMinimumSamples = 20;
// Beyond this number all counts are halved, so that the estimate follows a change.
constexpr int64_t kMaximumSamples = 2000;
constexpr double kBucketsPerDoubling = 4;
// Upper bound of the first bucket.
constexpr Duration kFirstBucketUpperBound = std::chrono::microseconds(250);
constexpr int64_t kHundredPercent = 100;

}  // namespace

void QuantileEstimator::AddSample(Duration elapsed) {
  ++this->counts[BucketOf(elapsed)];
  ++this->total;
  if (this->total >= kMaximumSamples) {
    this->HalveCounts();
  }
}

std::optional<Duration> QuantileEstimator::Quantile(Percent quantile) const {
  if (this->total < kMinimumSamples) {
    return std::nullopt;
  }
  int64_t below = 0;
  for (size_t bucket = 0; bucket < kBucketCount; ++bucket) {
    below += this->counts[bucket];
    if (below * kHundredPercent >= this->total * quantile.value()) {
      return UpperBound(bucket);
    }
  }
  return UpperBound(kBucketCount - 1);
}

size_t QuantileEstimator::BucketOf(Duration elapsed) {
  if (elapsed <= kFirstBucketUpperBound) {
    return 0;
  }
  const double ratio = static_cast<double>(elapsed.count()) / kFirstBucketUpperBound.count();
  const auto bucket = static_cast<size_t>(std::ceil(std::log2(ratio) * kBucketsPerDoubling));
  return std::min(bucket, kBucketCount - 1);
}

Duration QuantileEstimator::UpperBound(size_t bucket) {
  const double factor = std::exp2(static_cast<double>(bucket) / kBucketsPerDoubling);
  return Duration(std::llround(static_cast<double>(kFirstBucketUpperBound.count()) * factor));
}

void QuantileEstimator::HalveCounts() {
  this->total = 0;
  for (uint16_t& count : this->counts) {
    count /= 2;
    this->total += count;
  }
}

}  // namespace sapphirecrank::limits
