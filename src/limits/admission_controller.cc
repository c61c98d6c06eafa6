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

size_t PriorityClassIndex(PriorityClass priority_class) {
  return static_cast<size_t>(priority_class);
}

tl::unexpected<Refusal> MakeShuttingDownRefusal() {
  return MakeRefusal(ErrorCode::kShuttingDown, "this entry host is shutting down", "");
}

}  // namespace

AdmissionController::AdmissionController(TeamQuota& team_quota, const QueueBounds& queue_bounds,
                                         Hooks hooks)
    : team_quota(team_quota), hooks(std::move(hooks)), shards(kShardCount) {
  this->SetQueueBounds(queue_bounds);
}

Admission AdmissionController::Admit(const AdmissionRequest& request) {
  Admission accepting = this->CheckAcceptingWork(request);
  if (!accepting) {
    return accepting;
  }
  // The quota is checked first because it refuses unknown teams, which must not get a queue here.
  Admission quota_admission = this->team_quota.Admit(request.team, request.task_count);
  if (!quota_admission) {
    return quota_admission;
  }
  Admission admission = this->shards.WithShard(
      request.team, [&](Shard& shard) { return EnqueueTasks(shard, request); });
  if (!admission) {
    this->team_quota.UndoAdmit(request.team, request.task_count);
  }
  return admission;
}

void AdmissionController::OnTasksStarted(const TeamId& team, PriorityClass priority_class,
                                         TaskCount task_count) {
  const TimePoint now = this->hooks.now();
  this->shards.WithShard(team, [&](Shard& shard) {
    Queue& queue = shard.queues[team][PriorityClassIndex(priority_class)];
    queue.length -= std::min(task_count, queue.length);
    queue.drain_time_estimator.OnDepartures(now, task_count);
  });
}

void AdmissionController::OnTasksRequeued(const TeamId& team, PriorityClass priority_class,
                                          TaskCount task_count) {
  this->shards.WithShard(team, [&](Shard& shard) {
    shard.queues[team][PriorityClassIndex(priority_class)].length += task_count;
  });
}

void AdmissionController::OnTasksEnded(const TeamId& team, TaskCount task_count) {
  this->RemoveTasks(team, task_count, std::nullopt);
}

void AdmissionController::OnTasksDropped(const TeamId& team, PriorityClass priority_class,
                                         TaskCount task_count) {
  this->RemoveTasks(team, task_count, priority_class);
}

void AdmissionController::SetQueueBounds(const QueueBounds& new_queue_bounds) {
  this->shards.ForEachShard([&](Shard& shard) { shard.queue_bounds = new_queue_bounds; });
}

void AdmissionController::ShutDown() {
  this->shards.ForEachShard([](Shard& shard) { shard.is_shutting_down = true; });
  this->ReportIfDrained();
}

TaskCount AdmissionController::QueuedTasks(const TeamId& team, PriorityClass priority_class) {
  return this->shards.WithShard(team, [&](Shard& shard) {
    auto found = shard.queues.find(team);
    return found == shard.queues.end() ? TaskCount(0)
                                       : found->second[PriorityClassIndex(priority_class)].length;
  });
}

TaskCount AdmissionController::TasksInFlight() {
  TaskCount sum;
  this->shards.ForEachShard([&sum](const Shard& shard) { sum += shard.tasks_in_flight; });
  return sum;
}

Admission AdmissionController::CheckAcceptingWork(const AdmissionRequest& request) {
  const bool is_shutting_down = this->shards.WithShard(
      request.team, [](const Shard& shard) { return shard.is_shutting_down; });
  if (is_shutting_down) {
    return MakeShuttingDownRefusal();
  }
  if (request.deadline <= this->hooks.now()) {
    return MakeRefusal(ErrorCode::kDeadlineExceeded, "the deadline has passed", "deadline_ms");
  }
  return {};
}

Admission AdmissionController::EnqueueTasks(Shard& shard, const AdmissionRequest& request) {
  // Checked again because a shutdown may have begun since `CheckAcceptingWork`.
  if (shard.is_shutting_down) {
    return MakeShuttingDownRefusal();
  }
  const TaskCount bound = shard.queue_bounds[PriorityClassIndex(request.priority_class)];
  if (request.task_count > bound) {
    return MakeRefusal(ErrorCode::kTooLarge,
                       "the number of tasks exceeds the bound of the team's queue", "tasks");
  }
  Queue& queue = shard.queues[request.team][PriorityClassIndex(request.priority_class)];
  const TaskCount excess_tasks = queue.length + request.task_count - bound;
  if (excess_tasks > TaskCount(0)) {
    const std::string class_name(base::PriorityClassName(request.priority_class));
    return MakeRefusal(ErrorCode::kOverloaded,
                       "the team's queue of class " + class_name + " is full", "class",
                       queue.drain_time_estimator.TimeUntilDepartures(excess_tasks));
  }
  queue.length += request.task_count;
  shard.tasks_in_flight += request.task_count;
  return {};
}

void AdmissionController::RemoveTasks(const TeamId& team, TaskCount task_count,
                                      std::optional<PriorityClass> queued_class) {
  this->team_quota.ReleaseTasks(team, task_count);
  const bool may_be_drained = this->shards.WithShard(team, [&](Shard& shard) {
    if (queued_class) {
      Queue& queue = shard.queues[team][PriorityClassIndex(*queued_class)];
      queue.length -= std::min(task_count, queue.length);
    }
    shard.tasks_in_flight -= std::min(task_count, shard.tasks_in_flight);
    return shard.is_shutting_down && shard.tasks_in_flight == TaskCount(0);
  });
  if (may_be_drained) {
    this->ReportIfDrained();
  }
}

void AdmissionController::ReportIfDrained() {
  bool all_drained = true;
  // Once every shard refuses new work, the counts only decrease, so they needn't be read at the
  // same time.
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
