#include "limits/quantile_estimator.h"

#include <algorithm>
#include <cmath>

namespace sapphirecrank::limits {

using base::Duration;

namespace {

constexpr int64_t kMinimumSamples = 20;
// At this number of samples all counts are halved, so that the estimate follows a change.
constexpr int64_t kMaximumSamples = 2000;
constexpr double kBucketsPerDoubling = 4;
constexpr Duration kFirstBucketUpperBound = std::chrono::microseconds(250);
constexpr int64_t kHundredPercent = 100;

}  // namespace

void QuantileEstimator::AddSample(Duration response_time) {
  ++this->bucket_counts[BucketIndex(response_time)];
  ++this->sample_count;
  if (this->sample_count >= kMaximumSamples) {
    this->HalveCounts();
  }
}

std::optional<Duration> QuantileEstimator::Quantile(Percent quantile) const {
  if (this->sample_count < kMinimumSamples) {
    return std::nullopt;
  }
  int64_t cumulative_count = 0;
  for (size_t bucket = 0; bucket < kBucketCount; ++bucket) {
    cumulative_count += this->bucket_counts[bucket];
    if (cumulative_count * kHundredPercent >= this->sample_count * quantile.value()) {
      return BucketUpperBound(bucket);
    }
  }
  return BucketUpperBound(kBucketCount - 1);
}

size_t QuantileEstimator::BucketIndex(Duration response_time) {
  if (response_time <= kFirstBucketUpperBound) {
    return 0;
  }
  const double ratio = static_cast<double>(response_time.count()) / kFirstBucketUpperBound.count();
  const auto bucket = static_cast<size_t>(std::ceil(std::log2(ratio) * kBucketsPerDoubling));
  return std::min(bucket, kBucketCount - 1);
}

Duration QuantileEstimator::BucketUpperBound(size_t bucket) {
  const double factor = std::exp2(static_cast<double>(bucket) / kBucketsPerDoubling);
  return Duration(std::llround(static_cast<double>(kFirstBucketUpperBound.count()) * factor));
}

void QuantileEstimator::HalveCounts() {
  this->sample_count = 0;
  for (uint16_t& count : this->bucket_counts) {
    count /= 2;
    this->sample_count += count;
  }
}

}  // namespace sapphirecrank::limits
