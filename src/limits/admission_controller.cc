#include "limits/admission_controller.h"

#include <algorithm>
#include <string>
#include <utility>

#include "base/mutex_lock.h"

namespace sapphirecrank::limits {

using base::ErrorCode;
using base::PriorityClass;
using base::TaskCount;
using base::TeamId;
using base::TimePoint;

namespace {

constexpr size_t kShardCount = 16;

size_t PriorityClassIndex(PriorityClass work_class) { return static_cast<size_t>(work_class); }

tl::unexpected<Refusal> MakeShuttingDownRefusal() {
  return MakeRefusal(ErrorCode::kShuttingDown, "this entry host is shutting down", "");
}

}  // namespace

AdmissionController::AdmissionController(TeamQuota& quota, const QueueBounds& bounds, Hooks hooks)
    : team_quota(quota), hooks(std::move(hooks)), shards(kShardCount) {
  this->SetQueueBounds(bounds);
}

Admission AdmissionController::Admit(const AdmissionRequest& request) {
  Admission open = this->CheckAcceptingWork(request);
  if (!open) {
    return open;
  }
  // The quota comes first, because it refuses unknown teams, which must not take memory here.
  Admission within_quota = this->team_quota.Admit(request.team, request.task_count);
  if (!within_quota) {
    return within_quota;
  }
  Admission admission = this->shards.WithShard(
      request.team, [&](Shard& shard) { return EnqueueTasks(shard, request); });
  if (!admission) {
    this->team_quota.UndoAdmit(request.team, request.task_count);
  }
  return admission;
}

void AdmissionController::OnTasksStarted(const TeamId& team, PriorityClass work_class,
                                         TaskCount tasks) {
  const TimePoint now = this->hooks.now();
  this->shards.WithShard(team, [&](Shard& shard) {
    Queue& queue = shard.queues[team][PriorityClassIndex(work_class)];
    queue.length -= std::min(tasks, queue.length);
    queue.drain_time_estimator.OnTasksEnded(now, tasks);
  });
}

void AdmissionController::OnTasksRequeued(const TeamId& team, PriorityClass work_class,
                                          TaskCount tasks) {
  this->shards.WithShard(team, [&](Shard& shard) {
    shard.queues[team][PriorityClassIndex(work_class)].length += tasks;
  });
}

void AdmissionController::OnTasksEnded(const TeamId& team, TaskCount tasks) {
  this->RemoveTasks(team, tasks, std::nullopt);
}

void AdmissionController::OnTasksDropped(const TeamId& team, PriorityClass work_class,
                                         TaskCount tasks) {
  this->RemoveTasks(team, tasks, work_class);
}

void AdmissionController::SetQueueBounds(const QueueBounds& new_bounds) {
  this->shards.ForEachShard([&](Shard& shard) { shard.queue_bounds = new_bounds; });
}

void AdmissionController::ShutDown() {
  this->shards.ForEachShard([](Shard& shard) { shard.is_shutting_down = true; });
  this->ReportIfDrained();
}

TaskCount AdmissionController::QueuedTasks(const TeamId& team, PriorityClass work_class) {
  return this->shards.WithShard(team, [&](Shard& shard) {
    auto found = shard.queues.find(team);
    return found == shard.queues.end() ? TaskCount(0)
                                       : found->second[PriorityClassIndex(work_class)].length;
  });
}

TaskCount AdmissionController::TasksInFlight() {
  TaskCount sum;
  this->shards.ForEachShard([&sum](const Shard& shard) { sum += shard.tasks_in_flight; });
  return sum;
}

Admission AdmissionController::CheckAcceptingWork(const AdmissionRequest& request) {
  const bool shutting_down = this->shards.WithShard(
      request.team, [](const Shard& shard) { return shard.is_shutting_down; });
  if (shutting_down) {
    return MakeShuttingDownRefusal();
  }
  if (request.deadline <= this->hooks.now()) {
    return MakeRefusal(ErrorCode::kDeadlineExceeded, "the deadline has passed", "deadline_ms");
  }
  return {};
}

Admission AdmissionController::EnqueueTasks(Shard& shard, const AdmissionRequest& request) {
  // Asked again, because a shutdown may have begun since `CheckAcceptingWork`.
  if (shard.is_shutting_down) {
    return MakeShuttingDownRefusal();
  }
  const TaskCount bound = shard.queue_bounds[PriorityClassIndex(request.priority_class)];
  if (request.task_count > bound) {
    return MakeRefusal(ErrorCode::kTooLarge, "more tasks than the team's queue holds", "tasks");
  }
  Queue& queue = shard.queues[request.team][PriorityClassIndex(request.priority_class)];
  const TaskCount excess = queue.length + request.task_count - bound;
  if (excess > TaskCount(0)) {
    const std::string name(base::PriorityClassName(request.priority_class));
    return MakeRefusal(ErrorCode::kOverloaded, "the team's queue of class " + name + " is full",
                       "class", queue.drain_time_estimator.TimeUntilEnded(excess));
  }
  queue.length += request.task_count;
  shard.tasks_in_flight += request.task_count;
  return {};
}

void AdmissionController::RemoveTasks(const TeamId& team, TaskCount tasks,
                                      std::optional<PriorityClass> from_queue) {
  this->team_quota.ReleaseTasks(team, tasks);
  const bool maybe_drained = this->shards.WithShard(team, [&](Shard& shard) {
    if (from_queue) {
      Queue& queue = shard.queues[team][PriorityClassIndex(*from_queue)];
      queue.length -= std::min(tasks, queue.length);
    }
    shard.tasks_in_flight -= std::min(tasks, shard.tasks_in_flight);
    return shard.is_shutting_down && shard.tasks_in_flight == TaskCount(0);
  });
  if (maybe_drained) {
    this->ReportIfDrained();
  }
}

void AdmissionController::ReportIfDrained() {
  bool all_drained = true;
  // Once every shard refuses new work the counts only fall, so they may be read one by one.
  this->shards.ForEachShard([&all_drained](const Shard& shard) {
    all_drained = all_drained && shard.is_shutting_down && shard.tasks_in_flight == TaskCount(0);
  });
  if (!all_drained) {
    return;
  }
  {
    base::MutexLock lock(this->mutex);
    if (std::exchange(this->is_drained_reported, true)) {
      return;
    }
  }
  this->hooks.on_drained();
}

}  // namespace sapphirecrank::limits
