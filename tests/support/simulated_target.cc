#include "tests/support/simulated_target.h"

#include <algorithm>
#include <utility>

namespace sapphirecrank::testing {

using runs::TargetCallStatus;

SimulatedTarget::SimulatedTarget(std::string id, base::Resources capacity, base::TimePoint born)
    : id(std::move(id)), capacity(capacity), start_time(born) {}

runs::TargetReport SimulatedTarget::MakeReport(base::TimePoint now) {
  this->last_report_number = this->last_report_number.Next();
  runs::TargetReport report;
  report.id = base::TargetId(this->id);
  report.service = base::ServiceId("service");
  report.address = base::NetworkAddress(this->id + ":1");
  report.data_centre = base::DataCentreId("zone");
  report.incarnation = base::Incarnation(1);
  report.sequence_number = this->last_report_number;
  report.capacity = this->capacity;
  report.clock = this->TargetClockAt(now);
  return report;
}

bool SimulatedTarget::AcceptFencingToken(base::FencingToken token) {
  if (token < this->highest_fencing_token) {
    return false;
  }
  this->highest_fencing_token = token;
  return true;
}

runs::TargetCallResponse SimulatedTarget::StartRun(const runs::StartRequest& order,
                                                   const base::Resources& need,
                                                   base::TimePoint now) {
  const base::Duration clock = this->TargetClockAt(now);
  if (!this->AcceptFencingToken(order.target.fencing_token)) {
    return {TargetCallStatus::kFenced, clock};
  }
  if (order.lease_end <= clock) {
    return {TargetCallStatus::kLeaseExpired, clock};
  }
  if (this->running_resources.count(order.key) > 0) {
    return {TargetCallStatus::kAccepted, clock};
  }
  auto known = this->highest_run_numbers.find(order.key.task);
  if (known != this->highest_run_numbers.end() && order.key.run <= known->second) {
    return {TargetCallStatus::kStaleRunNumber, clock};
  }
  this->lease_until = std::max(this->lease_until, order.lease_end);
  this->running_resources[order.key] = need;
  return {TargetCallStatus::kAccepted, clock};
}

runs::TargetCallResponse SimulatedTarget::StopRun(const runs::StopRequest& order,
                                                  base::TimePoint now) {
  if (!this->AcceptFencingToken(order.target.fencing_token)) {
    return {TargetCallStatus::kFenced, this->TargetClockAt(now)};
  }
  base::RunNumber& highest_stopped = this->highest_run_numbers[order.key.task];
  highest_stopped = std::max(highest_stopped, order.key.run);
  if (this->running_resources.count(order.key) > 0) {
    this->FinishRun(order.key, runs::FinishedRun::Outcome::kStopped);
  }
  return {TargetCallStatus::kAccepted, this->TargetClockAt(now)};
}

runs::PollResponse SimulatedTarget::Poll(const runs::PollRequest& order, base::TimePoint now) {
  runs::PollResponse answer;
  if (!this->AcceptFencingToken(order.target.fencing_token)) {
    answer.status = TargetCallStatus::kFenced;
    return answer;
  }
  answer.status = TargetCallStatus::kAccepted;
  if (order.lease_end) {
    this->lease_until = std::max(this->lease_until, *order.lease_end);
  }
  this->finished_runs.erase(std::remove_if(this->finished_runs.begin(), this->finished_runs.end(),
                                           [&order](const runs::FinishedRun& end) {
                                             return end.sequence_number <= order.acknowledged_end;
                                           }),
                            this->finished_runs.end());
  answer.run_list.incarnation = base::Incarnation(1);
  answer.run_list.clock = this->TargetClockAt(now);
  for (const auto& [key, need] : this->running_resources) {
    answer.run_list.active_runs.push_back({key, 0});
  }
  answer.run_list.finished_runs = this->finished_runs;
  return answer;
}

void SimulatedTarget::FinishRun(const runs::RunKey& key, runs::FinishedRun::Outcome kind) {
  this->running_resources.erase(key);
  base::RunNumber& highest_ended = this->highest_run_numbers[key.task];
  highest_ended = std::max(highest_ended, key.run);
  this->last_finished_run_number = this->last_finished_run_number.Next();
  this->finished_runs.push_back({this->last_finished_run_number, key, kind});
}

void SimulatedTarget::StopRunsIfLeaseExpired(base::TimePoint now) {
  if (this->TargetClockAt(now) < this->lease_until) {
    return;
  }
  while (!this->running_resources.empty()) {
    this->FinishRun(runs::RunKey(this->running_resources.begin()->first),
                    runs::FinishedRun::Outcome::kLeaseExpired);
  }
}

bool SimulatedTarget::IsOverCapacity() const {
  base::Resources used;
  for (const auto& [key, need] : this->running_resources) {
    used += need;
  }
  return !this->capacity.CanFit(used);
}

}  // namespace sapphirecrank::testing
