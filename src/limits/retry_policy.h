#pragma once

#include <functional>

#include "base/mutex.h"
#include "base/result.h"
#include "base/time.h"
#include "limits/automatic_actions.h"
#include "limits/backoff_policy.h"
#include "limits/retry_budget.h"
#include "limits/retry_counters.h"
#include "limits/retry_denial.h"
#include "limits/retry_request.h"

namespace sapphirecrank::limits {

/// Decides whether and when a failed attempt is retried.
///
/// Thread safety: all methods may be called from any thread.
class RetryPolicy {
 public:
  /// Callbacks of the policy; all must be set.
  struct Hooks {
    /// Current time.
    base::Clock now;
    /// Returns the automatic actions that the preset in force allows.
    std::function<AutomaticActions()> automatic_actions;
  };

  /// Precondition: `budget` outlives this object.
  RetryPolicy(RetryBudget& budget, BackoffPolicy backoff, Hooks hooks);

  /// Returns the delay after which to retry and takes one retry from the budget, or returns why not
  /// to retry and takes nothing.
  tl::expected<base::Duration, RetryDenial> DecideRetry(const RetryRequest& request)
      EXCLUDES(mutex);

  /// Returns the counts since the process started.
  RetryCounters Counters() EXCLUDES(mutex);

 private:
  tl::expected<base::Duration, RetryDenial> EvaluateRetry(const RetryRequest& request);
  void CountDenial(RetryDenial denial) REQUIRES(mutex);

  RetryBudget& budget;
  BackoffPolicy backoff;
  Hooks hooks;
  base::Mutex mutex;
  RetryCounters counters GUARDED_BY(mutex);
};

}  // namespace sapphirecrank::limits
