#pragma once

#include <functional>

#include "base/time.h"

namespace sapphirecrank::limits {

/// Chooses delays before retries: exponential with full jitter, so that the retries of a burst of
/// failures spread over the whole delay instead of coming as another burst.
///
/// Thread safety: all methods may be called from any thread if the hook may.
class BackoffPolicy {
 public:
  struct Settings {
    /// Longest delay before the first retry.
    base::Duration maximum_first_delay = std::chrono::milliseconds(10);
    /// Longest delay before any retry.
    base::Duration maximum_delay = std::chrono::seconds(1);
  };

  /// Behaviour handed in; all members must be set.
  struct Hooks {
    /// Returns a random number from 0 up to but without 1; safe from any thread.
    std::function<double()> random_fraction;
  };

  /// Precondition: `settings.first` is positive.
  BackoffPolicy(const Settings& settings, Hooks hooks);

  /// Returns the delay before the retry that follows `failed_attempts` failed attempts.
  base::Duration DelayBeforeRetry(int failed_attempts) const;

 private:
  Settings settings;
  Hooks hooks;
};

}  // namespace sapphirecrank::limits
