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
  const int64_t new_step = now.time_since_epoch() / this->step_length;
  // Each step that is entered reuses the slot of the step that leaves the window.
  const int64_t first_entered_step = this->current_step + 1;
  const int64_t last_entered_step = std::min(new_step, this->current_step + kStepCount);
  for (int64_t entered_step = first_entered_step; entered_step <= last_entered_step;
       ++entered_step) {
    this->window_sum -= this->step_counts[entered_step % kStepCount];
    this->step_counts[entered_step % kStepCount] = EventCount(0);
  }
  this->current_step = std::max(this->current_step, new_step);
}

}  // namespace sapphirecrank::limits
