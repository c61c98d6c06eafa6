#include "tests/support/simulated_target.h"

#include <algorithm>
#include <utility>

namespace sapphirecrank::testing {

using runs::TargetCallStatus;

SimulatedTarget::SimulatedTarget(std::string id, base::Resources capacity, base::TimePoint born)
    : id(std::move(id)), capacity(capacity), born(born) {}

runs::TargetReport SimulatedTarget::Report(base::TimePoint now) {
  this->reports = this->reports.Next();
  runs::TargetReport report;
  report.id = base::TargetId(this->id);
  report.service = base::ServiceId("service");
  report.address = base::NetworkAddress(this->id + ":1");
  report.data_centre = base::DataCentreId("zone");
  report.incarnation = base::Incarnation(1);
  report.sequence_number = this->reports;
  report.capacity = this->capacity;
  report.clock = this->ClockAt(now);
  return report;
}

bool SimulatedTarget::TakeToken(base::FencingToken token) {
  if (token < this->highest) {
    return false;
  }
  this->highest = token;
  return true;
}

runs::TargetCallResponse SimulatedTarget::Start(const runs::StartRequest& order,
                                                const base::Resources& need, base::TimePoint now) {
  const base::Duration clock = this->ClockAt(now);
  if (!this->TakeToken(order.target.fencing_token)) {
    return {TargetCallStatus::kFenced, clock};
  }
  if (order.lease_end <= clock) {
    return {TargetCallStatus::kLeaseExpired, clock};
  }
  if (this->running.count(order.key) > 0) {
    return {TargetCallStatus::kAccepted, clock};
  }
  auto known = this->highest_run.find(order.key.task);
  if (known != this->highest_run.end() && order.key.run <= known->second) {
    return {TargetCallStatus::kStaleRunNumber, clock};
  }
  this->lease = std::max(this->lease, order.lease_end);
  this->running[order.key] = need;
  return {TargetCallStatus::kAccepted, clock};
}

runs::TargetCallResponse SimulatedTarget::Stop(const runs::StopRequest& order,
                                               base::TimePoint now) {
  if (!this->TakeToken(order.target.fencing_token)) {
    return {TargetCallStatus::kFenced, this->ClockAt(now)};
  }
  base::RunNumber& highest_stopped = this->highest_run[order.key.task];
  highest_stopped = std::max(highest_stopped, order.key.run);
  if (this->running.count(order.key) > 0) {
    this->End(order.key, runs::FinishedRun::Outcome::kStopped);
  }
  return {TargetCallStatus::kAccepted, this->ClockAt(now)};
}

runs::PollResponse SimulatedTarget::Look(const runs::PollRequest& order, base::TimePoint now) {
  runs::PollResponse answer;
  if (!this->TakeToken(order.target.fencing_token)) {
    answer.status = TargetCallStatus::kFenced;
    return answer;
  }
  answer.status = TargetCallStatus::kAccepted;
  if (order.lease_end) {
    this->lease = std::max(this->lease, *order.lease_end);
  }
  this->ends.erase(std::remove_if(this->ends.begin(), this->ends.end(),
                                  [&order](const runs::FinishedRun& end) {
                                    return end.sequence_number <= order.acknowledged_end;
                                  }),
                   this->ends.end());
  answer.run_list.incarnation = base::Incarnation(1);
  answer.run_list.clock = this->ClockAt(now);
  for (const auto& [key, need] : this->running) {
    answer.run_list.active_runs.push_back({key, 0});
  }
  answer.run_list.finished_runs = this->ends;
  return answer;
}

void SimulatedTarget::End(const runs::RunKey& key, runs::FinishedRun::Outcome kind) {
  this->running.erase(key);
  base::RunNumber& highest_ended = this->highest_run[key.task];
  highest_ended = std::max(highest_ended, key.run);
  this->last_end = this->last_end.Next();
  this->ends.push_back({this->last_end, key, kind});
}

void SimulatedTarget::Tick(base::TimePoint now) {
  if (this->ClockAt(now) < this->lease) {
    return;
  }
  while (!this->running.empty()) {
    this->End(runs::RunKey(this->running.begin()->first),
              runs::FinishedRun::Outcome::kLeaseExpired);
  }
}

bool SimulatedTarget::IsOverCapacity() const {
  base::Resources used;
  for (const auto& [key, need] : this->running) {
    used += need;
  }
  return !this->capacity.CanFit(used);
}

}  // namespace sapphirecrank::testing
