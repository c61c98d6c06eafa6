#include "limits/adaptive_limit.h"

#include <algorithm>

namespace sapphirecrank::limits {

using base::Duration;
using base::SlotCount;

namespace {

constexpr double kMinimumLimit = 1;
// A straggler takes 30 times its expected run time, which says nothing about the concurrency that
// the target can handle. The cap keeps the average below the tolerance after a single straggler.
constexpr double kMaximumSlowdown = 4;
constexpr double kSlowdownSmoothingWeight = 1.0 / 16;
// The limit shrinks only if the average slowdown exceeds the baseline by more than this factor.
constexpr double kSlowdownTolerance = 1.5;
// Weight with which the baseline approaches the average, so that it follows a target that has
// become slower permanently.
constexpr double kBaselineDriftWeight = 1.0 / 1024;
constexpr double kMinimumGradient = 0.5;
constexpr double kLimitSmoothingWeight = 1.0 / 8;
// Number of calls by which the limit grows beyond a concurrency that is known to work.
constexpr double kHeadroomCalls = 1;
constexpr double kOverloadDecreaseFactor = 0.8;

}  // namespace

AdaptiveLimit::AdaptiveLimit(SlotCount upper_bound)
    : upper_bound(std::max(kMinimumLimit, static_cast<double>(upper_bound.value()))),
      limit(this->upper_bound) {}

void AdaptiveLimit::SetUpperBound(SlotCount new_upper_bound) {
  const bool is_at_upper_bound = this->limit >= this->upper_bound;
  this->upper_bound = std::max(kMinimumLimit, static_cast<double>(new_upper_bound.value()));
  this->SetLimit(is_at_upper_bound ? this->upper_bound : this->limit);
}

void AdaptiveLimit::AddSample(const ResponseSample& sample, SlotCount calls_in_flight) {
  if (sample.is_overload) {
    this->SetLimit(this->limit * kOverloadDecreaseFactor);
    return;
  }
  if (sample.expected_run_time <= Duration(0)) {
    return;
  }
  this->UpdateSlowdown(static_cast<double>(sample.response_time.count()) /
                       static_cast<double>(sample.expected_run_time.count()));
  const double proposed_limit = this->limit * this->Gradient() + kHeadroomCalls;
  // While less than half of the limit is in use, samples don't show that the target could handle
  // more calls, so the limit may shrink but not grow.
  const bool is_in_use = calls_in_flight.value() * 2 >= this->limit;
  if (proposed_limit < this->limit || is_in_use) {
    this->SetLimit(this->limit + kLimitSmoothingWeight * (proposed_limit - this->limit));
  }
}

SlotCount AdaptiveLimit::Limit() const {
  return SlotCount(static_cast<SlotCount::ValueType>(this->limit));
}

SlotCount AdaptiveLimit::UpperBound() const {
  return SlotCount(static_cast<SlotCount::ValueType>(this->upper_bound));
}

void AdaptiveLimit::UpdateSlowdown(double slowdown) {
  const double capped_slowdown = std::clamp(slowdown, 0.0, kMaximumSlowdown);
  if (this->average_slowdown == 0) {
    // If this first sample is a straggler, the next samples lower average and baseline together.
    this->average_slowdown = capped_slowdown;
    this->baseline_slowdown = capped_slowdown;
    return;
  }
  this->average_slowdown += kSlowdownSmoothingWeight * (capped_slowdown - this->average_slowdown);
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

void AdaptiveLimit::SetLimit(double new_limit) {
  this->limit = std::clamp(new_limit, kMinimumLimit, this->upper_bound);
}

}  // namespace sapphirecrank::limits
