#include "tests/support/simulated_target.h"

#include <algorithm>
#include <utility>

namespace sapphirecrank::testing {

using runs::TargetCallStatus;

namespace {

constexpr base::Duration kMaximumLease = std::chrono::milliseconds(1000);

}  // namespace

SimulatedTarget::SimulatedTarget(std::string id, base::Resources capacity,
                                 base::TimePoint start_time)
    : id(std::move(id)), capacity(capacity), start_time(start_time) {}

void SimulatedTarget::Restart(base::TimePoint now) {
  const base::Incarnation next_incarnation(this->incarnation.value() + 1);
  *this = SimulatedTarget(this->id, this->capacity, now);
  this->incarnation = next_incarnation;
}

runs::TargetReport SimulatedTarget::MakeReport(base::TimePoint now) {
  this->last_report_number = this->last_report_number.Next();
  runs::TargetReport report;
  report.id = base::TargetId(this->id);
  report.service = base::ServiceId("service");
  report.address = base::NetworkAddress(this->id + ":1");
  report.data_centre = base::DataCentreId("zone");
  report.incarnation = this->incarnation;
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

void SimulatedTarget::ExtendLease(base::Duration requested_lease_end, base::TimePoint now) {
  this->lease_end = std::max(
      this->lease_end, std::min(requested_lease_end, this->TargetClockAt(now) + kMaximumLease));
}

runs::TargetCallResponse SimulatedTarget::StartRun(const runs::StartRequest& request,
                                                   const base::Resources& required_resources,
                                                   base::TimePoint now) {
  const base::Duration target_clock = this->TargetClockAt(now);
  if (!this->AcceptFencingToken(request.target.fencing_token)) {
    return {TargetCallStatus::kFenced, target_clock};
  }
  if (request.lease_end <= target_clock) {
    return {TargetCallStatus::kLeaseExpired, target_clock};
  }
  if (this->active_run_resources.count(request.key) > 0) {
    return {TargetCallStatus::kAccepted, target_clock};
  }
  auto highest_run_number = this->highest_run_numbers.find(request.key.task);
  if (highest_run_number != this->highest_run_numbers.end() &&
      request.key.run <= highest_run_number->second) {
    return {TargetCallStatus::kStaleRunNumber, target_clock};
  }
  this->ExtendLease(request.lease_end, now);
  this->active_run_resources[request.key] = required_resources;
  return {TargetCallStatus::kAccepted, target_clock};
}

runs::TargetCallResponse SimulatedTarget::StopRun(const runs::StopRequest& request,
                                                  base::TimePoint now) {
  if (!this->AcceptFencingToken(request.target.fencing_token)) {
    return {TargetCallStatus::kFenced, this->TargetClockAt(now)};
  }
  base::RunNumber& highest_stopped = this->highest_run_numbers[request.key.task];
  highest_stopped = std::max(highest_stopped, request.key.run);
  if (this->active_run_resources.count(request.key) > 0) {
    this->FinishRun(request.key, runs::FinishedRun::Outcome::kStopped);
  }
  return {TargetCallStatus::kAccepted, this->TargetClockAt(now)};
}

runs::PollResponse SimulatedTarget::Poll(const runs::PollRequest& request, base::TimePoint now) {
  runs::PollResponse response;
  if (!this->AcceptFencingToken(request.target.fencing_token)) {
    response.status = TargetCallStatus::kFenced;
    return response;
  }
  response.status = TargetCallStatus::kAccepted;
  if (request.lease_end) {
    this->ExtendLease(*request.lease_end, now);
  }
  this->finished_runs.erase(std::remove_if(this->finished_runs.begin(), this->finished_runs.end(),
                                           [&request](const runs::FinishedRun& finished_run) {
                                             return finished_run.sequence_number <=
                                                    request.acknowledged_up_to;
                                           }),
                            this->finished_runs.end());
  response.run_list.incarnation = this->incarnation;
  response.run_list.clock = this->TargetClockAt(now);
  for (const auto& [key, required_resources] : this->active_run_resources) {
    response.run_list.active_runs.push_back({key, 0});
  }
  response.run_list.finished_runs = this->finished_runs;
  return response;
}

void SimulatedTarget::FinishRun(const runs::RunKey& key, runs::FinishedRun::Outcome outcome) {
  this->active_run_resources.erase(key);
  base::RunNumber& highest_ended = this->highest_run_numbers[key.task];
  highest_ended = std::max(highest_ended, key.run);
  this->last_finished_run_number = this->last_finished_run_number.Next();
  this->finished_runs.push_back({this->last_finished_run_number, key, outcome});
}

void SimulatedTarget::StopRunsIfLeaseExpired(base::TimePoint now) {
  if (this->TargetClockAt(now) < this->lease_end) {
    return;
  }
  while (!this->active_run_resources.empty()) {
    this->FinishRun(runs::RunKey(this->active_run_resources.begin()->first),
                    runs::FinishedRun::Outcome::kLeaseExpired);
  }
}

bool SimulatedTarget::IsOverCapacity() const {
  base::Resources used;
  for (const auto& [key, required_resources] : this->active_run_resources) {
    used += required_resources;
  }
  return !this->capacity.CanFit(used);
}

}  // namespace sapphirecrank::testing
