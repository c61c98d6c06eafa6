#include "runs/leased_target.h"

#include <algorithm>
#include <chrono>

namespace sapphirecrank::runs {

namespace {

// A target's clock may run 2 % slow; the rest covers the network delay of the request.
constexpr double kClockDriftFactor = 1.05;
// Targets report their clocks in whole milliseconds.
constexpr base::Duration kClockResolution = std::chrono::milliseconds(1);
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

bool LeasedTarget::MayStartRunsSoon() const {
  return !this->is_evacuated && this->phase != Phase::kFenced && !this->report.is_draining &&
         this->health != targets::HealthState::kEjected;
}

bool LeasedTarget::HasRequiredLabel(const PlacementRule& rule) const {
  const std::vector<base::LabelId>& labels = this->report.labels;
  return rule.required_label.empty() ||
         std::find(labels.begin(), labels.end(), rule.required_label) != labels.end();
}

bool LeasedTarget::SatisfiesPlacementRule(const PlacementRule& rule, const JobTaskKey& task) const {
  if (!this->HasRequiredLabel(rule)) {
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

void LeasedTarget::ForgetEarlierIncarnation() {
  this->unknown_run_count = 0;
  this->last_processed_end = base::SequenceNumber();
  this->last_acknowledged_end = base::SequenceNumber();
  this->pending_acknowledgements = PendingAcknowledgements();
  this->backoff_until = base::TimePoint();
  this->unanswered_call_count = 0;
  this->overdue_poll_count = 0;
  for (auto& [key, run] : this->runs) {
    run.is_on_known_incarnation = false;
    run.stop_confirmed_at.reset();
    run.progress_percent.reset();
  }
}

bool LeasedTarget::MayAcknowledgeEnds() const {
  return std::all_of(this->runs.begin(), this->runs.end(),
                     [](const auto& entry) { return entry.second.is_on_known_incarnation; });
}

base::Duration LeasedTarget::MinimumClockAfter(base::TimePoint sent_at) const {
  const base::Duration elapsed = sent_at - this->clock_read_at;
  const double factor = elapsed < base::Duration(0) ? kClockDriftFactor : 1.0 / kClockDriftFactor;
  return this->report.clock + std::chrono::duration_cast<base::Duration>(elapsed * factor) -
         kClockResolution;
}

void LeasedTarget::ExtendLease(base::Duration lease, base::TimePoint now) {
  this->lease_end = std::max(
      this->lease_end, now + std::chrono::duration_cast<base::Duration>(lease * kClockDriftFactor));
}

}  // namespace sapphirecrank::runs
