#include "limits/retry_policy.h"

#include <utility>

#include "base/execution_verdict.h"
#include "base/mutex_lock.h"

namespace sapphirecrank::limits {

using base::Duration;

RetryPolicy::RetryPolicy(RetryBudget& budget, BackoffPolicy backoff, Hooks hooks)
    : budget(budget), backoff(std::move(backoff)), hooks(std::move(hooks)) {}

tl::expected<Duration, RetryDenial> RetryPolicy::DecideRetry(const RetryRequest& request) {
  const auto decision = this->EvaluateRetry(request);
  base::MutexLock lock(this->mutex);
  if (decision) {
    ++this->counters.retried;
  } else {
    this->CountDenial(decision.error());
  }
  return decision;
}

RetryCounters RetryPolicy::Counters() {
  base::MutexLock lock(this->mutex);
  return this->counters;
}

tl::expected<Duration, RetryDenial> RetryPolicy::EvaluateRetry(const RetryRequest& request) {
  if (!base::IsSafeToRetry(request.verdict, request.idempotent)) {
    return tl::make_unexpected(RetryDenial::kUnsafe);
  }
  const Duration delay = this->backoff.DelayBeforeRetry(request.failed_attempts);
  if (this->hooks.now() + delay + request.expected_run_time >= request.deadline) {
    return tl::make_unexpected(RetryDenial::kDeadline);
  }
  if (!this->hooks.automatic_actions().retry) {
    const bool is_within_budget = this->budget.HasRemaining(request.team);
    return tl::make_unexpected(is_within_budget ? RetryDenial::kDisabled : RetryDenial::kBudget);
  }
  if (!this->budget.TryTake(request.team)) {
    return tl::make_unexpected(RetryDenial::kBudget);
  }
  return delay;
}

void RetryPolicy::CountDenial(RetryDenial denial) {
  switch (denial) {
    case RetryDenial::kUnsafe:
      ++this->counters.denied_as_unsafe;
      break;
    case RetryDenial::kDeadline:
      ++this->counters.denied_by_deadline;
      break;
    case RetryDenial::kBudget:
      ++this->counters.denied_by_budget;
      break;
    case RetryDenial::kDisabled:
      ++this->counters.would_have_retried;
      break;
  }
}

}  // namespace sapphirecrank::limits
