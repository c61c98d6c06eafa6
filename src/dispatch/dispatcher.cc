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

Dispatcher::Dispatcher(const std::string& own_prefix, Hooks hooks)
    : own_attempt_prefix(own_prefix),
      hooks(std::move(hooks)),
      pending_tasks(kShardCount),
      target_registry(own_prefix,
                      {this->hooks.now, this->hooks.usable_from,
                       [this](const auto& state) { this->scheduler.UpdateTarget(state); },
                       [this](const auto& id) { this->scheduler.RemoveTarget(id); }}),
      scheduler({this->hooks.now, [this](const auto& decision) { this->StartTask(decision); },
                 [this](const auto& refusal) {
                   this->ReportTask(refusal.task, MakeRefusedResponse(refusal.error));
                 }}) {}

void Dispatcher::AssignTasks(const HostId& origin, std::vector<Assignment> assignments) {
  std::map<base::TargetKind, std::vector<scheduling::TaskSpec>> accepted;
  for (Assignment& assignment : assignments) {
    const scheduling::TaskSpec spec = assignment.spec;
    if (this->AddPendingTask(origin, std::move(assignment))) {
      accepted[spec.target_kind].push_back(spec);
    }
  }
  for (const auto& [kind, specs] : accepted) {
    const base::Result<void> queued = this->scheduler.EnqueueAll(specs);
    if (queued) {
      continue;
    }
    for (const scheduling::TaskSpec& spec : specs) {
      this->ReportTask(spec.key, MakeRefusedResponse(queued.error()));
    }
  }
}

bool Dispatcher::AddPendingTask(const HostId& origin, Assignment assignment) {
  const TaskKey key = assignment.spec.key;
  const bool is_new = this->pending_tasks.WithShard(key, [&](Shard& shard) {
    return shard.try_emplace(key, PendingTask{origin, std::move(assignment), this->hooks.now()})
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
  if (this->hooks.on_task_started) {
    this->hooks.on_task_started(spec, now - queued_at);
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
      call, [this, decision, attempt = call.attempt, now](const TargetResponse& answer) {
        this->OnTargetResponse(decision, attempt, now, answer);
      });
}

void Dispatcher::OnTargetResponse(const scheduling::StartDecision& decision,
                                  const AttemptId& attempt, TimePoint started,
                                  TargetResponse answer) {
  // The slot goes to the uncertain attempts before the scheduler may give it away.
  if (answer.verdict == ExecutionVerdict::kMayHaveRun) {
    this->target_registry.OnUncertainAttempt(decision.target, attempt);
  }
  answer.run_time = this->hooks.now() - started;
  this->scheduler.OnTaskEnded(decision.task, decision.target,
                              {answer.verdict, answer.succeeded, answer.run_time});
  this->ReportTask(decision.task, answer);
}

void Dispatcher::ReportTask(const TaskKey& key, const TargetResponse& answer) {
  TaskReport report;
  HostId origin;
  const bool found = this->pending_tasks.WithShard(key, [&](Shard& shard) {
    auto it = shard.find(key);
    if (it == shard.end()) {
      return false;
    }
    origin = it->second.origin_host;
    report.placement = it->second.assignment.placement;
    shard.erase(it);
    return true;
  });
  if (!found) {
    return;
  }
  report.key = key;
  report.succeeded = answer.succeeded;
  report.verdict = answer.verdict;
  report.body = answer.body;
  report.error = answer.error;
  report.run_time = answer.run_time;
  this->hooks.send_report(origin, report);
  --this->tasks_in_flight;
}

AttemptId Dispatcher::NextAttemptId() {
  return AttemptId(this->own_attempt_prefix + std::to_string(this->next_attempt_number++));
}

}  // namespace sapphirecrank::dispatch
