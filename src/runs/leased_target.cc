#include "runs/leased_target.h"

#include <algorithm>
#include <chrono>

namespace sapphirecrank::runs {

namespace {

// A target's clock may run 2 % slow; the rest is for the way of the order.
constexpr double kSlowClock = 1.05;
// One lost answer says little about a target that answers other calls; a silent one has several
// calls open.
constexpr int kUnansweredOfSilence = 2;

}  // namespace

void LeasedTarget::Avoid(base::TimePoint until) {
  this->avoid_until = std::max(this->avoid_until, until);
}

void LeasedTarget::CountCall(bool has_answer, base::TimePoint avoid_if_silent) {
  this->unanswered_calls = has_answer ? 0 : this->unanswered_calls + 1;
  if (this->unanswered_calls >= kUnansweredOfSilence) {
    this->Avoid(avoid_if_silent);
  }
}

void LeasedTarget::ExtendLease(base::Duration lease, base::TimePoint now) {
  this->lease_end = std::max(this->lease_end,
                             now + std::chrono::duration_cast<base::Duration>(lease * kSlowClock));
}

}  // namespace sapphirecrank::runs
