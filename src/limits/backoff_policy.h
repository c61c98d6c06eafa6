#pragma once

#include <functional>

#include "base/time.h"

namespace sapphirecrank::limits {

/// Chooses delays before retries: exponential backoff with full jitter. The jitter spreads the
/// retries of a burst of failures over the whole delay, so that they don't form another burst.
///
/// Thread safety: all methods may be called from any thread; the hook must be thread-safe.
class BackoffPolicy {
 public:
  struct Settings {
    /// Upper bound of the delay before the first retry; doubles with each further retry.
    base::Duration maximum_first_delay = std::chrono::milliseconds(10);
    /// Upper bound of the delay before any retry.
    base::Duration maximum_delay = std::chrono::seconds(1);
  };

  /// Callbacks of the policy; all must be set.
  struct Hooks {
    /// Returns a random number from 0 (inclusive) to 1 (exclusive).
    std::function<double()> random_fraction;
  };

  /// Precondition: `settings.maximum_first_delay` is positive.
  BackoffPolicy(const Settings& settings, Hooks hooks);

  /// Returns a random delay before the retry that follows `failed_attempts` failed attempts.
  base::Duration DelayBeforeRetry(int failed_attempts) const;

 private:
  Settings settings;
  Hooks hooks;
};

}  // namespace sapphirecrank::limits
