#include "limits/share_budget.h"

#include <cstdint>

namespace sapphirecrank::limits {

using base::TimePoint;

namespace {
constexpr int64_t kHundredPercent = 100;
}  // namespace

ProportionalBudget::ProportionalBudget(const Settings& settings)
    : settings(settings), work(settings.window), extra(settings.window) {}

void ProportionalBudget::OnFirstAttempts(TimePoint now, EventCount count) {
  this->work.Add(now, count);
}

bool ProportionalBudget::HasRemaining(TimePoint now) {
  const int64_t wanted = this->extra.Sum(now).Next().value();
  const int64_t from_work = this->work.Sum(now).value() * this->settings.share.value();
  return wanted * kHundredPercent <=
         from_work + this->settings.minimum_extra_messages.value() * kHundredPercent;
}

bool ProportionalBudget::TryTake(TimePoint now) {
  if (!this->HasRemaining(now)) {
    return false;
  }
  this->extra.Add(now, EventCount(1));
  return true;
}

}  // namespace sapphirecrank::limits
