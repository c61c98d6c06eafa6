#include "limits/backoff_policy.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace sapphirecrank::limits {

using base::Duration;

BackoffPolicy::BackoffPolicy(const Settings& settings, Hooks hooks)
    : settings(settings), hooks(std::move(hooks)) {}

Duration BackoffPolicy::DelayBeforeRetry(int failed_attempts) const {
  Duration delay_bound = this->settings.maximum_first_delay;
  for (int attempt = 1; attempt < failed_attempts && delay_bound < this->settings.maximum_delay;
       ++attempt) {
    delay_bound *= 2;
  }
  delay_bound = std::min(delay_bound, this->settings.maximum_delay);
  return Duration(static_cast<int64_t>(static_cast<double>(delay_bound.count()) *
                                       this->hooks.random_fraction()));
}

}  // namespace sapphirecrank::limits
