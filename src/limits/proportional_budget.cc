#include "limits/proportional_budget.h"

#include <cstdint>

namespace sapphirecrank::limits {

using base::TimePoint;

namespace {
constexpr int64_t kHundredPercent = 100;
}  // namespace

ProportionalBudget::ProportionalBudget(const Settings& settings)
    : settings(settings), first_attempts(settings.window), extra_messages(settings.window) {}

void ProportionalBudget::OnFirstAttempts(TimePoint now, EventCount count) {
  this->first_attempts.Add(now, count);
}

bool ProportionalBudget::HasRemaining(TimePoint now) {
  const int64_t extra_with_next = this->extra_messages.Sum(now).Next().value();
  const int64_t hundredths_from_attempts =
      this->first_attempts.Sum(now).value() * this->settings.share.value();
  return extra_with_next * kHundredPercent <=
         hundredths_from_attempts + this->settings.minimum_extra_messages.value() * kHundredPercent;
}

bool ProportionalBudget::TryTake(TimePoint now) {
  if (!this->HasRemaining(now)) {
    return false;
  }
  this->extra_messages.Add(now, EventCount(1));
  return true;
}

}  // namespace sapphirecrank::limits
