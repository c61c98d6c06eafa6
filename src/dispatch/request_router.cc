#include "dispatch/request_router.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "dispatch/host_selector.h"

namespace sapphirecrank::dispatch {

using base::Duration;
using base::Error;
using base::ErrorCode;
using base::ExecutionVerdict;
using base::HostId;
using base::PlacementNumber;
using base::SubmissionId;
using base::TargetKind;
using base::TimePoint;

namespace {

constexpr size_t kShardCount = 64;
constexpr PlacementNumber kMaximumPlacements{5};
constexpr Duration kPlacementRetryDelay = std::chrono::milliseconds(20);

TaskReport MakeFailedReport(const Assignment& assignment, ExecutionVerdict verdict, Error error) {
  error.verdict = verdict;
  TaskReport report;
  report.key = assignment.spec.key;
  report.placement = assignment.placement;
  report.verdict = verdict;
  report.error = std::move(error);
  return report;
}

bool CanRetryPlacement(const TaskReport& report, const Assignment& assignment) {
  switch (report.error.code) {
    case ErrorCode::kUnsatisfiable:
    case ErrorCode::kDeadlineExceeded:
    case ErrorCode::kCancelled:
    case ErrorCode::kInvalidArgument:
      return false;
    default:
      break;
  }
  if (report.verdict == ExecutionVerdict::kRan) {
    return false;
  }
  return base::IsSafeToRetry(report.verdict, assignment.spec.idempotent) &&
         assignment.placement < kMaximumPlacements;
}

}  // namespace

/// Selectors of the hosts that may get work. They are created before a shard is locked, because
/// hooks run with no lock held.
struct RequestRouter::HostSelectors {
  HostSelector runners;
  HostSelector workers;

  HostSelector& ForKind(TargetKind kind) {
    return kind == TargetKind::kRunner ? this->runners : this->workers;
  }
};

struct RequestRouter::Effects {
  std::map<HostId, std::vector<Assignment>> assignments;
  std::set<std::pair<HostId, SubmissionId>> cancellations;
  std::vector<std::pair<CompletionCallback, std::vector<TaskReport>>> completions;
};

RequestRouter::RequestRouter(Hooks hooks) : hooks(std::move(hooks)), shards(kShardCount) {}

bool RequestRouter::Submit(std::vector<Assignment> assignments, CompletionCallback on_complete) {
  const SubmissionId submission = assignments.front().spec.key.submission;
  const TimePoint now = this->hooks.now();
  SubmissionState state;
  state.unfinished_tasks = assignments.size();
  state.on_complete = std::move(on_complete);
  state.tasks.reserve(assignments.size());
  for (Assignment& assignment : assignments) {
    TaskState task;
    task.assignment = std::move(assignment);
    task.place_at = now;
    state.tasks.push_back(std::move(task));
  }
  const bool is_new = this->shards.WithShard(submission, [&](Shard& shard) {
    return shard.try_emplace(submission, std::move(state)).second;
  });
  if (!is_new) {
    return false;
  }
  HostSelectors host_selectors = this->CurrentHostSelectors();
  this->UpdateSubmission(submission, [&](SubmissionState& added_state, Effects& effects) {
    PlaceDueTasks(added_state, now, host_selectors, effects);
  });
  return true;
}

bool RequestRouter::OnReport(const HostId& host, const TaskReport& report) {
  const TimePoint now = this->hooks.now();
  bool is_accepted = false;
  this->UpdateSubmission(report.key.submission, [&](SubmissionState& state, Effects& effects) {
    if (report.key.index.value() >= state.tasks.size()) {
      return;
    }
    TaskState& task = state.tasks[report.key.index.value()];
    const bool is_current =
        !task.is_final && task.host == host && task.assignment.placement == report.placement;
    if (is_current) {
      is_accepted = true;
      this->RetryOrEndTask(state, task, report, now, effects);
    }
  });
  return is_accepted;
}

void RequestRouter::EndAllSubmissions(const Error& error) {
  const auto match_all = [](const SubmissionState&) { return true; };
  this->UpdateMatchingSubmissions(match_all, [&](SubmissionState& state, Effects& effects) {
    for (TaskState& task : state.tasks) {
      if (!task.is_final) {
        this->EndTask(state, task, MakeFailedReport(task.assignment, CurrentVerdict(task), error),
                      effects);
      }
    }
  });
}

void RequestRouter::OnHostLost(const HostId& host) {
  const TimePoint now = this->hooks.now();
  const auto match_all = [](const SubmissionState&) { return true; };
  this->UpdateMatchingSubmissions(match_all, [&](SubmissionState& state, Effects& effects) {
    for (TaskState& task : state.tasks) {
      if (!task.is_final && task.host == host) {
        const Error error{ErrorCode::kUnavailable, "", "the entry host that ran the task was lost"};
        this->RetryOrEndTask(
            state, task, MakeFailedReport(task.assignment, ExecutionVerdict::kMayHaveRun, error),
            now, effects);
      }
    }
  });
}

bool RequestRouter::CancelSubmission(const SubmissionId& submission) {
  return this->UpdateSubmission(submission, [&](SubmissionState& state, Effects& effects) {
    this->FailSubmission(state, effects);
  });
}

void RequestRouter::Tick() {
  const TimePoint now = this->hooks.now();
  HostSelectors host_selectors = this->CurrentHostSelectors();
  const auto is_due = [now](const SubmissionState& state) { return state.next_due_at <= now; };
  this->UpdateMatchingSubmissions(is_due, [&](SubmissionState& state, Effects& effects) {
    this->EndExpiredTasks(state, now, effects);
    PlaceDueTasks(state, now, host_selectors, effects);
  });
}

size_t RequestRouter::SubmissionsInFlight() {
  size_t count = 0;
  this->shards.ForEachShard([&](Shard& shard) { count += shard.size(); });
  return count;
}

RequestRouter::HostSelectors RequestRouter::CurrentHostSelectors() const {
  return {HostSelector(this->hooks.host_loads(TargetKind::kRunner)),
          HostSelector(this->hooks.host_loads(TargetKind::kWorker))};
}

void RequestRouter::PlaceDueTasks(SubmissionState& state, TimePoint now,
                                  HostSelectors& host_selectors, Effects& effects) {
  state.next_due_at = state.tasks.front().assignment.spec.deadline;
  for (TaskState& task : state.tasks) {
    if (task.is_final || !task.host.empty()) {
      continue;
    }
    if (task.place_at > now) {
      state.next_due_at = std::min(state.next_due_at, task.place_at);
      continue;
    }
    const scheduling::TaskSpec& spec = task.assignment.spec;
    const HostId host =
        host_selectors.ForKind(spec.target_kind).SelectHost(spec.declared_resources);
    if (host.empty()) {
      task.place_at = now + kPlacementRetryDelay;
      state.next_due_at = std::min(state.next_due_at, task.place_at);
      continue;
    }
    task.host = host;
    task.assignment.placement = task.assignment.placement.Next();
    effects.assignments[host].push_back(task.assignment);
  }
}

void RequestRouter::RetryOrEndTask(SubmissionState& state, TaskState& task,
                                   const TaskReport& report, TimePoint now, Effects& effects) {
  const bool can_retry = !state.is_failing && !report.succeeded &&
                         task.assignment.spec.deadline > now + kPlacementRetryDelay &&
                         CanRetryPlacement(report, task.assignment);
  if (can_retry) {
    task.host = HostId();
    task.place_at = now + kPlacementRetryDelay;
    state.next_due_at = std::min(state.next_due_at, task.place_at);
    return;
  }
  this->EndTask(state, task, report, effects);
}

void RequestRouter::EndTask(SubmissionState& state, TaskState& task, const TaskReport& report,
                            Effects& effects) {
  task.is_final = true;
  task.final_report = report;
  task.assignment.payload.clear();
  --state.unfinished_tasks;
  if (!report.succeeded) {
    this->FailSubmission(state, effects);
  }
}

void RequestRouter::FailSubmission(SubmissionState& state, Effects& effects) {
  if (state.is_failing) {
    return;
  }
  state.is_failing = true;
  for (TaskState& task : state.tasks) {
    if (task.is_final) {
      continue;
    }
    if (!task.host.empty()) {
      effects.cancellations.emplace(task.host, task.assignment.spec.key.submission);
      continue;
    }
    const Error error{ErrorCode::kCancelled, "",
                      "not started because the submission failed or was cancelled"};
    this->EndTask(state, task, MakeFailedReport(task.assignment, CurrentVerdict(task), error),
                  effects);
  }
}

void RequestRouter::EndExpiredTasks(SubmissionState& state, TimePoint now, Effects& effects) {
  for (TaskState& task : state.tasks) {
    if (task.is_final || task.assignment.spec.deadline > now) {
      continue;
    }
    const Error error{ErrorCode::kDeadlineExceeded, "deadline_ms", "the deadline has passed"};
    this->EndTask(state, task, MakeFailedReport(task.assignment, CurrentVerdict(task), error),
                  effects);
  }
}

ExecutionVerdict RequestRouter::CurrentVerdict(const TaskState& task) {
  if (task.assignment.placement == PlacementNumber(0)) {
    return ExecutionVerdict::kNotRun;
  }
  // A task that waits to be placed again was reported with "not run" unless it is idempotent.
  const bool is_waiting = task.host.empty() && !task.assignment.spec.idempotent;
  return is_waiting ? ExecutionVerdict::kNotRun : ExecutionVerdict::kMayHaveRun;
}

bool RequestRouter::UpdateSubmission(
    const SubmissionId& submission, const std::function<void(SubmissionState&, Effects&)>& update) {
  Effects effects;
  const bool is_known = this->shards.WithShard(submission, [&](Shard& shard) {
    auto found = shard.find(submission);
    if (found == shard.end()) {
      return false;
    }
    update(found->second, effects);
    if (found->second.unfinished_tasks == 0) {
      std::vector<TaskReport> reports;
      reports.reserve(found->second.tasks.size());
      for (TaskState& task : found->second.tasks) {
        reports.push_back(std::move(task.final_report));
      }
      effects.completions.emplace_back(std::move(found->second.on_complete), std::move(reports));
      shard.erase(found);
    }
    return true;
  });
  this->ApplyEffects(effects);
  return is_known;
}

void RequestRouter::UpdateMatchingSubmissions(
    const std::function<bool(const SubmissionState&)>& condition,
    const std::function<void(SubmissionState&, Effects&)>& update) {
  std::vector<SubmissionId> submissions;
  this->shards.ForEachShard([&](Shard& shard) {
    for (const auto& [submission, state] : shard) {
      if (condition(state)) {
        submissions.push_back(submission);
      }
    }
  });
  for (const SubmissionId& submission : submissions) {
    this->UpdateSubmission(submission, update);
  }
}

void RequestRouter::ApplyEffects(const Effects& effects) {
  for (const auto& [host, assignments] : effects.assignments) {
    if (!this->hooks.assign_tasks(host, assignments)) {
      this->OnAssignmentNotSent(host, assignments);
    }
  }
  for (const auto& [host, submission] : effects.cancellations) {
    this->hooks.cancel_submission(host, submission);
  }
  for (const auto& [on_complete, reports] : effects.completions) {
    on_complete(reports);
  }
}

void RequestRouter::OnAssignmentNotSent(const HostId& host,
                                        const std::vector<Assignment>& assignments) {
  const Error error{ErrorCode::kUnavailable, "", "no link to the entry host"};
  for (const Assignment& assignment : assignments) {
    this->OnReport(host, MakeFailedReport(assignment, ExecutionVerdict::kNotRun, error));
  }
}

}  // namespace sapphirecrank::dispatch
