#include "limits/token_bucket.h"

#include <algorithm>

namespace sapphirecrank::limits {

using base::Duration;
using base::TimePoint;

namespace {

constexpr int64_t kBillionthsPerEvent = 1'000'000'000;
// Keeps the level, in billionths of an event, within 64 bits.
constexpr int64_t kMaximumLimit = 1'000'000'000;

int64_t ClampLimit(int64_t limit) { return std::clamp<int64_t>(limit, 0, kMaximumLimit); }

}  // namespace

TokenBucket::TokenBucket(EventsPerSecond rate, EventCount burst, TimePoint now)
    : events_per_second(ClampLimit(rate.value())),
      capacity_billionths(ClampLimit(burst.value()) * kBillionthsPerEvent),
      level_billionths(this->capacity_billionths),
      refilled_at(now) {}

bool TokenBucket::TryTake(TimePoint now, EventCount count) {
  if (count > this->BurstSize()) {
    return false;
  }
  this->Refill(now);
  const int64_t needed_billionths = count.value() * kBillionthsPerEvent;
  if (this->level_billionths < needed_billionths) {
    return false;
  }
  this->level_billionths -= needed_billionths;
  return true;
}

Duration TokenBucket::TimeUntilAvailable(TimePoint now, EventCount count) const {
  if (count > this->BurstSize()) {
    return Duration::max();
  }
  const int64_t missing_billionths =
      count.value() * kBillionthsPerEvent - this->LevelBillionthsAt(now);
  if (missing_billionths <= 0) {
    return Duration(0);
  }
  if (this->events_per_second == 0) {
    return Duration::max();
  }
  return Duration((missing_billionths + this->events_per_second - 1) / this->events_per_second);
}

void TokenBucket::SetLimits(EventsPerSecond new_rate, EventCount new_burst, TimePoint now) {
  this->Refill(now);
  const int64_t taken_billionths = this->capacity_billionths - this->level_billionths;
  this->events_per_second = ClampLimit(new_rate.value());
  this->capacity_billionths = ClampLimit(new_burst.value()) * kBillionthsPerEvent;
  this->level_billionths = std::max<int64_t>(0, this->capacity_billionths - taken_billionths);
}

bool TokenBucket::IsFull(TimePoint now) const {
  return this->LevelBillionthsAt(now) == this->capacity_billionths;
}

EventCount TokenBucket::BurstSize() const {
  return EventCount(this->capacity_billionths / kBillionthsPerEvent);
}

int64_t TokenBucket::LevelBillionthsAt(TimePoint now) const {
  const int64_t elapsed_nanoseconds = std::max<int64_t>(0, (now - this->refilled_at).count());
  const int64_t missing_billionths = this->capacity_billionths - this->level_billionths;
  if (this->events_per_second == 0 || missing_billionths == 0) {
    return this->level_billionths;
  }
  // Compared by division because the product overflows after a long idle period.
  return elapsed_nanoseconds > missing_billionths / this->events_per_second
             ? this->capacity_billionths
             : this->level_billionths + elapsed_nanoseconds * this->events_per_second;
}

void TokenBucket::Refill(TimePoint now) {
  this->level_billionths = this->LevelBillionthsAt(now);
  this->refilled_at = std::max(this->refilled_at, now);
}

}  // namespace sapphirecrank::limits
