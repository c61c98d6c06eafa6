#include "runs/leased_target.h"

#include <algorithm>
#include <chrono>

namespace sapphirecrank::runs {

namespace {

// A target's clock may run 2 % slow; the rest covers the network delay of the request.
constexpr double kClockDriftFactor = 1.05;
// One lost response says little about a target that responds to other calls. A target that is down
// has several calls without a response.
constexpr int kUnansweredCallsBeforeBackoff = 2;

}  // namespace

void LeasedTarget::ExtendBackoff(base::TimePoint until) {
  this->backoff_until = std::max(this->backoff_until, until);
}

void LeasedTarget::RecordCallResult(bool has_response, base::TimePoint backoff_until_if_silent) {
  this->unanswered_call_count = has_response ? 0 : this->unanswered_call_count + 1;
  if (this->unanswered_call_count >= kUnansweredCallsBeforeBackoff) {
    this->ExtendBackoff(backoff_until_if_silent);
  }
}

bool LeasedTarget::SatisfiesPlacementRule(const PlacementRule& rule, const JobTaskKey& task) const {
  const std::vector<base::LabelId>& labels = this->report.labels;
  if (!rule.required_label.empty() &&
      std::find(labels.begin(), labels.end(), rule.required_label) == labels.end()) {
    return false;
  }
  if (rule.maximum_tasks_per_target <= base::TaskCount(0)) {
    return true;
  }
  JobTaskKey step_task = task;
  step_task.index = base::TaskIndex(0);
  base::TaskCount tasks_on_target;
  for (auto run = this->runs.lower_bound({step_task, base::RunNumber(0)}); run != this->runs.end();
       ++run) {
    step_task.index = run->first.task.index;
    if (!(run->first.task == step_task)) {
      break;
    }
    tasks_on_target += base::TaskCount(1);
  }
  return tasks_on_target < rule.maximum_tasks_per_target;
}

void LeasedTarget::ExtendLease(base::Duration lease, base::TimePoint now) {
  this->lease_end = std::max(
      this->lease_end, now + std::chrono::duration_cast<base::Duration>(lease * kClockDriftFactor));
}

}  // namespace sapphirecrank::runs
