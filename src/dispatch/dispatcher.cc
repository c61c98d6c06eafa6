#include "dispatch/dispatcher.h"

#include <algorithm>
#include <map>
#include <utility>

namespace sapphirecrank::dispatch {

using base::AttemptId;
using base::ErrorCode;
using base::ExecutionVerdict;
using base::HostId;
using base::TaskKey;
using base::TimePoint;

namespace {

constexpr size_t kShardCount = 64;

TargetResponse MakeRefusedResponse(base::Error error) {
  error.verdict = ExecutionVerdict::kNotRun;
  return TargetResponse{false, ExecutionVerdict::kNotRun, "", std::move(error)};
}

}  // namespace

Dispatcher::Dispatcher(const std::string& own_attempt_prefix, Hooks hooks)
    : own_attempt_prefix(own_attempt_prefix),
      hooks(std::move(hooks)),
      pending_tasks(kShardCount),
      target_registry(own_attempt_prefix,
                      {this->hooks.now, this->hooks.usable_from,
                       [this](const auto& state) { this->scheduler.UpdateTarget(state); },
                       [this](const auto& id) { this->scheduler.RemoveTarget(id); }}),
      scheduler({this->hooks.now, [this](const auto& decision) { this->StartTask(decision); },
                 [this](const auto& refusal) {
                   this->ReportTask(refusal.task, MakeRefusedResponse(refusal.error));
                 }}) {}

void Dispatcher::AssignTasks(const HostId& origin_host, std::vector<Assignment> assignments) {
  std::map<base::TargetKind, std::vector<scheduling::TaskSpec>> accepted_by_kind;
  for (Assignment& assignment : assignments) {
    const scheduling::TaskSpec spec = assignment.spec;
    if (this->AddPendingTask(origin_host, std::move(assignment))) {
      accepted_by_kind[spec.target_kind].push_back(spec);
    }
  }
  for (const auto& [kind, specs] : accepted_by_kind) {
    const base::Result<void> queued = this->scheduler.EnqueueAll(specs);
    if (queued) {
      continue;
    }
    for (const scheduling::TaskSpec& spec : specs) {
      this->ReportTask(spec.key, MakeRefusedResponse(queued.error()));
    }
  }
}

bool Dispatcher::AddPendingTask(const HostId& origin_host, Assignment assignment) {
  const TaskKey key = assignment.spec.key;
  const bool is_new = this->pending_tasks.WithShard(key, [&](Shard& shard) {
    return shard
        .try_emplace(key, PendingTask{origin_host, std::move(assignment), this->hooks.now()})
        .second;
  });
  if (is_new) {
    ++this->tasks_in_flight;
  }
  return is_new;
}

void Dispatcher::CancelSubmission(const base::SubmissionId& submission) {
  for (const TaskKey& key : this->scheduler.CancelSubmission(submission)) {
    this->ReportTask(
        key, MakeRefusedResponse({ErrorCode::kCancelled, "", "cancelled before it started"}));
  }
}

void Dispatcher::OnAnnouncement(const targets::TargetAnnouncement& announcement) {
  this->target_registry.OnAnnouncement(announcement);
}

void Dispatcher::RetainTargets(const std::function<bool(const base::TargetId&)>& is_owned) {
  this->target_registry.RetainOwnedTargets(is_owned);
}

void Dispatcher::Tick() {
  this->target_registry.RemoveStaleTargets();
  this->scheduler.Tick();
}

scheduling::LoadSummary Dispatcher::LoadOfKind(base::TargetKind kind) {
  return this->scheduler.LoadOfKind(kind);
}

std::vector<targets::TargetAnnouncement> Dispatcher::OwnedTargets() {
  return this->target_registry.Announcements();
}

base::TaskCount Dispatcher::TasksInFlight() const {
  return base::TaskCount(this->tasks_in_flight.load());
}

void Dispatcher::StartTask(const scheduling::StartDecision& decision) {
  const TimePoint now = this->hooks.now();
  TargetCall call;
  scheduling::TaskSpec spec;
  TimePoint queued_at;
  call.attempt = this->NextAttemptId();
  this->pending_tasks.WithShard(decision.task, [&](Shard& shard) {
    PendingTask& found = shard.at(decision.task);
    call.payload = std::move(found.assignment.payload);
    call.timeout = found.assignment.spec.deadline - now;
    spec = found.assignment.spec;
    queued_at = found.queued_at;
  });
  if (this->hooks.on_start_decision) {
    this->hooks.on_start_decision(spec, now - queued_at);
  }
  if (!this->hooks.may_start_on_target(decision.target)) {
    this->OnTargetResponse(decision, call.attempt, now,
                           MakeRefusedResponse({ErrorCode::kFenced, "",
                                                "this entry host may not use the target now"}));
    return;
  }
  const auto address = this->target_registry.AddressOf(decision.target);
  if (!address) {
    this->OnTargetResponse(
        decision, call.attempt, now,
        MakeRefusedResponse({ErrorCode::kUnavailable, "", "the target is no longer known"}));
    return;
  }
  call.address = *address;
  this->hooks.call_target(
      call, [this, decision, attempt = call.attempt, now](const TargetResponse& response) {
        this->OnTargetResponse(decision, attempt, now, response);
      });
}

void Dispatcher::OnTargetResponse(const scheduling::StartDecision& decision,
                                  const AttemptId& attempt, TimePoint started_at,
                                  TargetResponse response) {
  // The attempt is counted as uncertain first, so that its slot stays occupied when the scheduler
  // releases it below.
  if (response.verdict == ExecutionVerdict::kMayHaveRun) {
    this->target_registry.OnUncertainAttempt(decision.target, attempt);
  }
  response.response_time = this->hooks.now() - started_at;
  this->scheduler.OnTaskEnded(decision.task, decision.target,
                              {response.verdict, response.succeeded, response.response_time});
  this->ReportTask(decision.task, response);
}

void Dispatcher::ReportTask(const TaskKey& key, const TargetResponse& response) {
  TaskReport report;
  HostId origin_host;
  const bool found = this->pending_tasks.WithShard(key, [&](Shard& shard) {
    auto it = shard.find(key);
    if (it == shard.end()) {
      return false;
    }
    origin_host = it->second.origin_host;
    report.placement = it->second.assignment.placement;
    shard.erase(it);
    return true;
  });
  if (!found) {
    return;
  }
  report.key = key;
  report.succeeded = response.succeeded;
  report.verdict = response.verdict;
  report.body = response.body;
  report.error = response.error;
  report.response_time = response.response_time;
  this->hooks.send_report(origin_host, report);
  --this->tasks_in_flight;
}

AttemptId Dispatcher::NextAttemptId() {
  return AttemptId(this->own_attempt_prefix + std::to_string(this->next_attempt_number++));
}

}  // namespace sapphirecrank::dispatch
