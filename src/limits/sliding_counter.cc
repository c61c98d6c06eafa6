#include "limits/sliding_counter.h"

#include <algorithm>

namespace sapphirecrank::limits {

using base::Duration;
using base::TimePoint;

SlidingWindowCounter::SlidingWindowCounter(Duration window) : step_length(window / kStepCount) {}

void SlidingWindowCounter::Add(TimePoint now, EventCount count) {
  this->Advance(now);
  this->steps[this->current_step % kStepCount] += count;
  this->sum += count;
}

EventCount SlidingWindowCounter::Sum(TimePoint now) {
  this->Advance(now);
  return this->sum;
}

void SlidingWindowCounter::Advance(TimePoint now) {
  const int64_t step = now.time_since_epoch() / this->step_length;
  const int64_t first_stale = this->current_step + 1;
  const int64_t last_stale = std::min(step, this->current_step + kStepCount);
  for (int64_t stale = first_stale; stale <= last_stale; ++stale) {
    this->sum -= this->steps[stale % kStepCount];
    this->steps[stale % kStepCount] = EventCount(0);
  }
  this->current_step = std::max(this->current_step, step);
}

}  // namespace sapphirecrank::limits
