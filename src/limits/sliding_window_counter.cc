#include "limits/sliding_window_counter.h"

#include <algorithm>

namespace sapphirecrank::limits {

using base::Duration;
using base::TimePoint;

SlidingWindowCounter::SlidingWindowCounter(Duration window) : step_length(window / kStepCount) {}

void SlidingWindowCounter::Add(TimePoint now, EventCount count) {
  this->AdvanceTo(now);
  this->step_counts[this->current_step % kStepCount] += count;
  this->window_sum += count;
}

EventCount SlidingWindowCounter::Sum(TimePoint now) {
  this->AdvanceTo(now);
  return this->window_sum;
}

void SlidingWindowCounter::AdvanceTo(TimePoint now) {
  const int64_t step = now.time_since_epoch() / this->step_length;
  const int64_t first_stale = this->current_step + 1;
  const int64_t last_stale = std::min(step, this->current_step + kStepCount);
  for (int64_t stale = first_stale; stale <= last_stale; ++stale) {
    this->window_sum -= this->step_counts[stale % kStepCount];
    this->step_counts[stale % kStepCount] = EventCount(0);
  }
  this->current_step = std::max(this->current_step, step);
}

}  // namespace sapphirecrank::limits
