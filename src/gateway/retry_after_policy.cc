#include "gateway/retry_after_policy.h"

#include <algorithm>
#include <functional>

namespace sapphirecrank::gateway {

using base::Duration;

namespace {

// The unit of the header in which callers get the delay is a second.
constexpr Duration kMinimumDelay = std::chrono::seconds(1);
constexpr Duration kMaximumDelay = std::chrono::seconds(30);
constexpr Duration kSpreadPerPriority = std::chrono::seconds(1);
constexpr int32_t kMaximumPriority = 5;
constexpr int64_t kSpreadSteps = 1000;

}  // namespace

Duration RetryAfterPolicy::RetryAfter(Duration expected_wait, base::Priority priority,
                                      const base::SubmissionId& job) {
  // Jobs of priority p return in the p seconds after those of the next higher priority.
  const int32_t level = std::clamp(priority.value(), 0, kMaximumPriority);
  const Duration earliest = kSpreadPerPriority * (level * (level - 1) / 2);
  const auto position = static_cast<int64_t>(std::hash<base::SubmissionId>()(job) % kSpreadSteps);
  const Duration spread =
      kSpreadPerPriority * level * static_cast<int64_t>(position) / kSpreadSteps;
  return std::clamp(std::max(kMinimumDelay, expected_wait) + earliest + spread, kMinimumDelay,
                    kMaximumDelay);
}

}  // namespace sapphirecrank::gateway
