#include "limits/adaptive_limit.h"

#include <algorithm>

namespace sapphirecrank::limits {

using base::Duration;
using base::SlotCount;

namespace {

constexpr double kMinimumLimit = 1;
// A straggler takes 30 times its run time; capped and averaged, one of them stays below the
// tolerance, because it says nothing about the target's concurrency.
constexpr double kMaximumSlowdown = 4;
constexpr double kSlowdownSmoothingWeight = 1.0 / 16;
// Average stretch, relative to the baseline, up to which the limit doesn't shrink.
constexpr double kSlowdownTolerance = 1.5;
// Lets the baseline follow a target that has become slower for good.
constexpr double kBaselineDriftWeight = 1.0 / 1024;
constexpr double kMinimumGradient = 0.5;
constexpr double kLimitSmoothingWeight = 1.0 / 8;
// Calls by which the limit probes beyond what has been seen to work.
constexpr double kHeadroomCalls = 1;
constexpr double kOverloadDecreaseFactor = 0.8;

}  // namespace

AdaptiveLimit::AdaptiveLimit(SlotCount bound)
    : upper_bound(std::max(kMinimumLimit, static_cast<double>(bound.value()))),
      limit(this->upper_bound) {}

void AdaptiveLimit::SetUpperBound(SlotCount new_bound) {
  const bool at_bound = this->limit >= this->upper_bound;
  this->upper_bound = std::max(kMinimumLimit, static_cast<double>(new_bound.value()));
  this->SetLimit(at_bound ? this->upper_bound : this->limit);
}

void AdaptiveLimit::AddSample(const ResponseSample& sample, SlotCount in_flight) {
  if (sample.is_overload) {
    this->SetLimit(this->limit * kOverloadDecreaseFactor);
    return;
  }
  if (sample.expected_run_time <= Duration(0)) {
    return;
  }
  this->UpdateSlowdown(static_cast<double>(sample.response_time.count()) /
                       static_cast<double>(sample.expected_run_time.count()));
  const double wanted = this->limit * this->Gradient() + kHeadroomCalls;
  // An unused limit has not been tried out, so it may shrink but not grow.
  const bool in_use = in_flight.value() * 2 >= this->limit;
  if (wanted < this->limit || in_use) {
    this->SetLimit(this->limit + kLimitSmoothingWeight * (wanted - this->limit));
  }
}

SlotCount AdaptiveLimit::Limit() const {
  return SlotCount(static_cast<SlotCount::ValueType>(this->limit));
}

SlotCount AdaptiveLimit::UpperBound() const {
  return SlotCount(static_cast<SlotCount::ValueType>(this->upper_bound));
}

void AdaptiveLimit::UpdateSlowdown(double stretch) {
  const double capped = std::clamp(stretch, 0.0, kMaximumSlowdown);
  if (this->average_slowdown == 0) {
    // If this one is a straggler, average and baseline fall together with the next samples.
    this->average_slowdown = capped;
    this->baseline_slowdown = capped;
    return;
  }
  this->average_slowdown += kSlowdownSmoothingWeight * (capped - this->average_slowdown);
  this->baseline_slowdown +=
      kBaselineDriftWeight * (this->average_slowdown - this->baseline_slowdown);
  this->baseline_slowdown = std::min(this->baseline_slowdown, this->average_slowdown);
}

double AdaptiveLimit::Gradient() const {
  if (this->average_slowdown <= 0) {
    return 1;
  }
  return std::clamp(kSlowdownTolerance * this->baseline_slowdown / this->average_slowdown,
                    kMinimumGradient, 1.0);
}

void AdaptiveLimit::SetLimit(double wanted) {
  this->limit = std::clamp(wanted, kMinimumLimit, this->upper_bound);
}

}  // namespace sapphirecrank::limits
