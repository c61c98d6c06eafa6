#include "targets/target_health_tracker.h"

#include <algorithm>

namespace sapphirecrank::targets {

using base::Duration;
using base::TargetId;
using base::TimePoint;

namespace {
constexpr double kFailureShareGain = 0.02;
/// Above this share of failures on all targets, the work is assumed to be at fault rather than a
/// target.
constexpr double kMaximumFailureShare = 0.5;
}  // namespace

void TargetHealthTracker::AddTarget(const TargetId& target) { this->records.try_emplace(target); }

void TargetHealthTracker::RemoveTarget(const TargetId& target) {
  auto found = this->records.find(target);
  if (found == this->records.end()) {
    return;
  }
  if (found->second.state != HealthState::kHealthy) {
    --this->counters.currently_ejected;
  }
  this->ejection_ends.erase({found->second.ejected_until, target});
  this->records.erase(found);
}

std::vector<TargetId> TargetHealthTracker::SetEjectionEnabled(bool enabled) {
  std::vector<TargetId> reset_targets;
  this->is_ejection_enabled = enabled;
  if (enabled) {
    return reset_targets;
  }
  for (auto& [target, record] : this->records) {
    if (record.state != HealthState::kHealthy) {
      record = TargetRecord();
      reset_targets.push_back(target);
    }
  }
  this->ejection_ends.clear();
  this->counters.currently_ejected = 0;
  return reset_targets;
}

HealthState TargetHealthTracker::OnTaskOutcome(const TargetId& target, bool succeeded,
                                               TimePoint now) {
  auto found = this->records.find(target);
  if (found == this->records.end()) {
    return HealthState::kHealthy;
  }
  TargetRecord& record = found->second;
  // Failures in a row beyond those that make an ejection due are not counted, so that one failing
  // target can't raise the share.
  if (succeeded || record.consecutive_failures < kFailuresBeforeEjection) {
    this->failure_share += kFailureShareGain * ((succeeded ? 0.0 : 1.0) - this->failure_share);
  }
  if (succeeded) {
    this->OnSuccess(record);
  } else {
    this->OnFailure(target, record, now);
  }
  return record.state;
}

std::vector<TargetId> TargetHealthTracker::BeginProbations(TimePoint now) {
  std::vector<TargetId> due_targets;
  while (!this->ejection_ends.empty() && this->ejection_ends.begin()->first <= now) {
    const TargetId target = this->ejection_ends.begin()->second;
    this->ejection_ends.erase(this->ejection_ends.begin());
    TargetRecord& record = this->records[target];
    record.state = HealthState::kProbation;
    record.consecutive_successes = 0;
    due_targets.push_back(target);
  }
  return due_targets;
}

HealthState TargetHealthTracker::StateOf(const TargetId& target) const {
  auto found = this->records.find(target);
  return found == this->records.end() ? HealthState::kHealthy : found->second.state;
}

HealthCounters TargetHealthTracker::Counters() const { return this->counters; }

void TargetHealthTracker::OnSuccess(TargetRecord& record) {
  record.consecutive_failures = 0;
  if (record.state != HealthState::kProbation) {
    return;
  }
  ++record.consecutive_successes;
  if (record.consecutive_successes >= kSuccessesBeforeRecovery) {
    record = TargetRecord();
    --this->counters.currently_ejected;
    ++this->counters.recoveries;
  }
}

void TargetHealthTracker::OnFailure(const TargetId& target, TargetRecord& record, TimePoint now) {
  ++record.consecutive_failures;
  if (record.state == HealthState::kProbation) {
    this->EjectTarget(target, record, now);
  } else if (record.state == HealthState::kHealthy &&
             record.consecutive_failures >= kFailuresBeforeEjection &&
             this->failure_share <= kMaximumFailureShare) {
    this->EjectTargetIfAllowed(target, record, now);
  }
}

void TargetHealthTracker::EjectTargetIfAllowed(const TargetId& target, TargetRecord& record,
                                               TimePoint now) {
  const bool is_newly_due = record.consecutive_failures == kFailuresBeforeEjection;
  if (!this->is_ejection_enabled) {
    this->counters.would_have_ejected += is_newly_due ? 1 : 0;
    return;
  }
  const auto maximum_ejected =
      static_cast<int64_t>(this->records.size() / kTargetsPerEjectedTarget);
  if (this->counters.currently_ejected >= maximum_ejected) {
    this->counters.prevented_by_limit += is_newly_due ? 1 : 0;
    return;
  }
  ++this->counters.currently_ejected;
  this->EjectTarget(target, record, now);
}

void TargetHealthTracker::EjectTarget(const TargetId& target, TargetRecord& record, TimePoint now) {
  const Duration doubled_duration =
      kFirstEjectionDuration * (int64_t{1} << std::min(record.consecutive_ejections, 10));
  record.state = HealthState::kEjected;
  record.ejected_until = now + std::min(kMaximumEjectionDuration, doubled_duration);
  ++record.consecutive_ejections;
  ++this->counters.ejections;
  this->ejection_ends.emplace(record.ejected_until, target);
}

}  // namespace sapphirecrank::targets
