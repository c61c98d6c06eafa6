#include "limits/token_bucket.h"

#include <algorithm>

namespace sapphirecrank::limits {

using base::Duration;
using base::TimePoint;

namespace {

constexpr int64_t kBillionthsOfEvent = 1'000'000'000;
// Keeps the level, in billionths of an event, within 64 bits.
constexpr int64_t kMaximumLimit = 1'000'000'000;

int64_t Clamp(int64_t limit) { return std::clamp<int64_t>(limit, 0, kMaximumLimit); }

}  // namespace

TokenBucket::TokenBucket(EventsPerSecond rate, EventCount burst, TimePoint now)
    : rate(Clamp(rate.value())),
      capacity(Clamp(burst.value()) * kBillionthsOfEvent),
      level(this->capacity),
      refilled_at(now) {}

bool TokenBucket::TryTake(TimePoint now, EventCount count) {
  if (count > this->BurstSize()) {
    return false;
  }
  this->Refill(now);
  const int64_t needed = count.value() * kBillionthsOfEvent;
  if (this->level < needed) {
    return false;
  }
  this->level -= needed;
  return true;
}

Duration TokenBucket::TimeUntilAvailable(TimePoint now, EventCount count) const {
  if (count > this->BurstSize()) {
    return Duration::max();
  }
  const int64_t missing = count.value() * kBillionthsOfEvent - this->LevelAt(now);
  if (missing <= 0) {
    return Duration(0);
  }
  if (this->rate == 0) {
    return Duration::max();
  }
  return Duration((missing + this->rate - 1) / this->rate);
}

void TokenBucket::SetLimits(EventsPerSecond new_rate, EventCount new_burst, TimePoint now) {
  this->Refill(now);
  const int64_t taken = this->capacity - this->level;
  this->rate = Clamp(new_rate.value());
  this->capacity = Clamp(new_burst.value()) * kBillionthsOfEvent;
  this->level = std::max<int64_t>(0, this->capacity - taken);
}

bool TokenBucket::IsFull(TimePoint now) const { return this->LevelAt(now) == this->capacity; }

EventCount TokenBucket::BurstSize() const {
  return EventCount(this->capacity / kBillionthsOfEvent);
}

int64_t TokenBucket::LevelAt(TimePoint now) const {
  const int64_t elapsed = std::max<int64_t>(0, (now - this->refilled_at).count());
  const int64_t missing = this->capacity - this->level;
  if (this->rate == 0 || missing == 0) {
    return this->level;
  }
  // Compared by division, because the product overflows after a long quiet time.
  return elapsed > missing / this->rate ? this->capacity : this->level + elapsed * this->rate;
}

void TokenBucket::Refill(TimePoint now) {
  this->level = this->LevelAt(now);
  this->refilled_at = std::max(this->refilled_at, now);
}

}  // namespace sapphirecrank::limits
