#include "scheduling/scheduler_shard.h"

#include <algorithm>
#include <utility>

#include "scheduling/seconds.h"

namespace sapphirecrank::scheduling {

using base::Duration;
using base::ErrorCode;
using base::PriorityClass;
using base::Result;
using base::SlotCount;
using base::TargetId;
using base::TaskKey;
using base::TimePoint;
using targets::HealthState;

namespace {
/// Time for the messages to a target and back, which a task needs in addition to its run time.
constexpr Duration kTargetRoundTripTime = std::chrono::milliseconds(1);

constexpr float kTaskMapLoadFactor = 0.5F;

size_t PriorityClassIndex(PriorityClass priority_class) {
  return static_cast<size_t>(priority_class);
}
}  // namespace

void SchedulerShard::Configure(const SchedulerSettings& settings) {
  this->settings = settings;
  this->target_index.Configure(settings.placement_candidate_count, settings.placement_policy,
                               settings.random_seed);
  this->run_time_estimator = RunTimeEstimator(settings.estimator_capacity);
  // Shorter hash chains save cache misses, which are the largest part of the cost of a look-up.
  this->tasks.max_load_factor(kTaskMapLoadFactor);
}

Result<void> SchedulerShard::Enqueue(const TaskSpec* specs, size_t count, TimePoint now,
                                     Effects& effects) {
  this->target_index.ApplyAvailabilityChanges(now);
  AddedWorkSeconds added_work{};
  std::vector<TaskRecord*> added;
  added.reserve(count);
  for (size_t i = 0; i < count; ++i) {
    const Result<void> admitted = this->AddTaskRecord(specs[i], i, added_work, added, now);
    if (!admitted) {
      this->RemoveTaskRecords(added);
      this->CountRefusal(admitted.error().code);
      return admitted;
    }
  }
  for (TaskRecord* task : added) {
    this->EnqueueTask(*task, now);
  }
  const size_t refused_before = effects.refusals.size();
  this->StartReadyTasks(now, effects);
  const bool none_refused = effects.refusals.size() == refused_before;
  for (size_t i = 0; i < count; ++i) {
    // The record of a refused task no longer exists.
    if (none_refused || this->tasks.count(specs[i].key) > 0) {
      this->ScheduleExpiry(*added[i]);
    }
  }
  return {};
}

void SchedulerShard::UpdateTarget(const TargetState& state, TimePoint now, Effects& effects) {
  this->target_index.ApplyAvailabilityChanges(now);
  this->target_index.UpdateTarget(state, now);
  this->target_health.AddTarget(state.id);
  this->StartReadyTasks(now, effects);
}

void SchedulerShard::RemoveTarget(const TargetId& target, TimePoint now) {
  TargetEntry* entry = this->target_index.FindTarget(target);
  if (entry == nullptr) {
    return;
  }
  this->CancelReservationOf(*entry, now);
  this->target_health.RemoveTarget(target);
  this->target_index.SetHealth(*entry, HealthState::kHealthy, now);
  this->target_index.RemoveTarget(target, now);
}

void SchedulerShard::OnTaskEnded(const TaskKey& key, const TargetId& target,
                                 const TaskOutcome& outcome, TimePoint now, Effects& effects) {
  auto found = this->tasks.find(key);
  if (found == this->tasks.end()) {
    return;
  }
  TaskRecord& task = found->second;
  if (task.target == nullptr || task.target->state.id != target) {
    return;
  }
  this->target_index.ApplyAvailabilityChanges(now);
  TargetEntry& entry = *task.target;
  const HealthState health = this->target_health.OnTaskOutcome(target, outcome.succeeded, now);
  this->target_index.SetHealth(entry, health, now);
  if (outcome.succeeded && outcome.response_time > Duration(0)) {
    this->run_time_estimator.AddSample(task.kind_handle, task.declared_run_time,
                                       outcome.response_time);
    if (this->settings.placement_policy == PlacementPolicy::kLowestSlowdown) {
      this->target_index.UpdateSlowdown(
          entry, ToSeconds(outcome.response_time) / ToSeconds(task.estimate.expected));
    }
  }
  this->QueueOf(task).MarkEnded(task, outcome.response_time);
  this->target_index.Release(entry, task.declared_resources, now);
  this->RemoveFromSubmission(task);
  this->tasks.erase(found);
  this->StartReadyTasks(now, effects);
}

void SchedulerShard::CancelSubmission(const base::SubmissionId& submission,
                                      std::vector<TaskKey>& cancelled) {
  auto found = this->submissions.find(submission);
  if (found == this->submissions.end()) {
    return;
  }
  size_t remaining = found->second.unfinished_count;
  SubmissionTasks& submission_tasks = found->second;
  while (remaining > 0 && !submission_tasks.queued_tasks.empty()) {
    TaskRecord& task = *submission_tasks.queued_tasks.front();
    cancelled.push_back(*task.key);
    this->DequeueTask(task);
    ++this->status.cancelled_tasks;
    --remaining;
    // The submission's entry is deleted with its last task.
    this->RemoveTaskRecord(task);
  }
}

void SchedulerShard::CancelTeam(const base::TeamId& team, TimePoint now,
                                std::vector<TaskKey>& cancelled) {
  auto found = this->teams.find(team);
  if (found == this->teams.end()) {
    return;
  }
  for (PriorityClassQueue& queue : this->queues) {
    for (size_t size_class = 0; size_class < PriorityClassQueue::kSizeClassCount; ++size_class) {
      while (TaskRecord* task =
                 queue.SizeClassAt(size_class).queue.NextTaskOfTeam(found->second, now)) {
        cancelled.push_back(*task->key);
        this->DequeueTask(*task);
        this->RemoveTaskRecord(*task);
        ++this->status.cancelled_tasks;
      }
    }
  }
}

void SchedulerShard::SetTeamWeight(const base::TeamId& team, base::Weight weight) {
  TeamRecord& record = this->FindOrAddTeam(team);
  record.weight = weight;
  for (PriorityClassQueue& queue : this->queues) {
    for (size_t size_class = 0; size_class < PriorityClassQueue::kSizeClassCount; ++size_class) {
      queue.SizeClassAt(size_class).queue.UpdateTeamWeight(record);
    }
  }
}

void SchedulerShard::SetAutomaticActions(const limits::AutomaticActions& actions, TimePoint now,
                                         Effects& effects) {
  this->automatic_actions = actions;
  for (const TargetId& target : this->target_health.SetEjectionEnabled(actions.ejection)) {
    TargetEntry* entry = this->target_index.FindTarget(target);
    if (entry != nullptr) {
      this->target_index.SetHealth(*entry, HealthState::kHealthy, now);
    }
  }
  this->StartReadyTasks(now, effects);
}

void SchedulerShard::Tick(TimePoint now, Effects& effects) {
  this->target_index.ApplyAvailabilityChanges(now);
  this->BeginProbations(now);
  while (!this->expiries.empty() && this->expiries.begin()->first <= now) {
    this->RefuseExpiredTask(*this->expiries.begin()->second, effects);
  }
  this->StartReadyTasks(now, effects);
}

LoadSummary SchedulerShard::CurrentLoad(TimePoint now) const {
  LoadSummary load;
  load.queued_tasks = base::TaskCount(this->status.queued_tasks);
  this->target_index.ForEachTarget([&](const TargetEntry& target) {
    const TargetState& state = target.state;
    if (state.leaving || state.lease_end <= now || target.health == HealthState::kEjected) {
      return;
    }
    load.total_slots += state.slots;
    load.free_slots += std::max(
        SlotCount(0), state.slots - target.used_by_tasks.slots - state.externally_used_slots);
    load.largest_processors = std::max(load.largest_processors, state.capacity.processors);
    load.largest_memory = std::max(load.largest_memory, state.capacity.memory);
    load.largest_accelerators = std::max(load.largest_accelerators, state.capacity.accelerators);
  });
  return load;
}

SchedulerStatus SchedulerShard::Status() const {
  SchedulerStatus result = this->status;
  result.health_counters = this->target_health.Counters();
  return result;
}

size_t SchedulerShard::QueueIndex(PriorityClass priority_class, bool is_long) {
  return 2 * PriorityClassIndex(priority_class) + (is_long ? 1 : 0);
}

base::Error SchedulerShard::MakeDeadlineError(const char* message) {
  return {ErrorCode::kDeadlineExceeded, "deadline_ms", message, base::ExecutionVerdict::kNotRun};
}

PriorityClassQueue& SchedulerShard::QueueOf(const TaskRecord& task) {
  return this->queues[QueueIndex(task.priority_class, task.is_long)];
}

PriorityClassQueue::SizeClass& SchedulerShard::SizeClassOf(const ReservedTarget& reservation) {
  return this->queues[reservation.queue_index].SizeClassAt(reservation.size_class);
}

TeamRecord& SchedulerShard::FindOrAddTeam(const base::TeamId& team) {
  auto [entry, is_new] = this->teams.try_emplace(team);
  if (is_new) {
    entry->second.index = static_cast<uint32_t>(this->teams.size() - 1);
  }
  return entry->second;
}

size_t SchedulerShard::QueuedTasksOfClass(PriorityClass priority_class) const {
  return this->queues[QueueIndex(priority_class, false)].size() +
         this->queues[QueueIndex(priority_class, true)].size();
}

Result<void> SchedulerShard::AddTaskRecord(const TaskSpec& spec, size_t preceding_tasks,
                                           AddedWorkSeconds& added_work,
                                           std::vector<TaskRecord*>& added, TimePoint now) {
  auto [inserted, is_new] = this->tasks.try_emplace(spec.key);
  if (!is_new) {
    return base::MakeErrorResult(ErrorCode::kConflict, "the task is queued or running already",
                                 "submission", base::ExecutionVerdict::kMayHaveRun);
  }
  TaskRecord& record = inserted->second;
  record.key = &inserted->first;
  added.push_back(&record);
  this->InitializeTaskRecord(record, spec, now);
  return this->CheckAdmission(spec, record, preceding_tasks, added_work, now);
}

void SchedulerShard::RemoveTaskRecords(const std::vector<TaskRecord*>& added) {
  for (const TaskRecord* task : added) {
    this->tasks.erase(this->tasks.find(*task->key));
  }
}

void SchedulerShard::InitializeTaskRecord(TaskRecord& record, const TaskSpec& spec, TimePoint now) {
  record.team =
      &this->FindOrAddTeam(this->settings.is_team_fairness_enabled ? spec.team : base::TeamId());
  record.kind_handle = this->run_time_estimator.FindOrAddPair(spec.team, spec.kind);
  record.declared_resources = spec.declared_resources;
  record.declared_run_time = spec.declared_run_time;
  record.estimate = this->run_time_estimator.Estimate(record.kind_handle, spec.declared_run_time);
  record.deadline = spec.deadline;
  record.enqueued_at = now;
  record.priority_class = spec.priority_class;
  record.is_long = this->settings.is_long_work_separated &&
                   record.estimate.expected > this->settings.short_work_run_time_limit;
  record.size_class = PriorityClassQueue::SizeClassIndex(spec.declared_resources,
                                                         this->target_index.LargestCapacity());
  record.run_time_level =
      this->settings.are_run_time_levels_enabled ? TeamQueue::LevelOf(record.estimate.expected) : 0;
}

Result<void> SchedulerShard::CheckAdmission(const TaskSpec& spec, const TaskRecord& task,
                                            size_t preceding_tasks, AddedWorkSeconds& added_work,
                                            TimePoint now) {
  if (spec.deadline <= now) {
    return tl::make_unexpected(MakeDeadlineError("the deadline has passed"));
  }
  if (!this->target_index.CanEverFit(spec.declared_resources)) {
    return tl::make_unexpected(this->MakeUnsatisfiableError(spec.declared_resources));
  }
  if (now + task.estimate.optimistic + kTargetRoundTripTime > spec.deadline) {
    return tl::make_unexpected(
        MakeDeadlineError("the task is unlikely to end before its deadline"));
  }
  const Result<void> within_limits = this->CheckQueueSizes(spec, task, preceding_tasks);
  return within_limits && this->settings.is_admission_control_enabled
             ? this->CheckExpectedWait(spec, task, added_work, now)
             : within_limits;
}

Result<void> SchedulerShard::CheckQueueSizes(const TaskSpec& spec, const TaskRecord& task,
                                             size_t preceding_tasks) const {
  if (task.team->queued_by_class[PriorityClassIndex(spec.priority_class)] + preceding_tasks >=
      this->settings.team_queue_limit) {
    return base::MakeErrorResult(ErrorCode::kOverloaded, "the team's queue is full", "team");
  }
  if (this->QueuedTasksOfClass(spec.priority_class) + preceding_tasks >=
      this->settings.class_queue_limit) {
    return base::MakeErrorResult(ErrorCode::kOverloaded, "the class's queue is full", "class");
  }
  return {};
}

Result<void> SchedulerShard::CheckExpectedWait(const TaskSpec& spec, const TaskRecord& task,
                                               AddedWorkSeconds& added_work, TimePoint now) {
  const size_t class_index = PriorityClassIndex(spec.priority_class);
  const double usable_slots = this->target_index.usable_capacity().slots.value();
  const PriorityClassQueue& queue = this->QueueOf(task);
  if (usable_slots <= 0 || queue.SizeClassAt(task.size_class).queue.empty()) {
    return {};
  }
  double& added_seconds =
      added_work[QueueIndex(task.priority_class, task.is_long)][task.size_class];
  const bool is_first_of_submission =
      added_seconds == 0 && this->submissions.count(spec.key.submission) == 0;
  const double minimum_rate = this->settings.guaranteed_share[class_index] * usable_slots;
  const Duration expected_wait =
      queue.ExpectedWait(*task.team, task.size_class, added_seconds, minimum_rate, now);
  added_seconds += ToSeconds(task.estimate.expected);
  const Duration slack =
      std::max(Duration(0), spec.deadline - now - kTargetRoundTripTime - task.estimate.expected);
  if (expected_wait > slack) {
    return tl::make_unexpected(
        MakeDeadlineError("the expected wait leaves too little time before the deadline"));
  }
  // The expected wait may be wrong by about a factor of two.
  if (expected_wait > slack / 2) {
    return base::MakeErrorResult(ErrorCode::kOverloaded,
                                 "the expected wait may leave too little time before the deadline",
                                 "class");
  }
  const bool is_standing =
      queue.SizeClassAt(task.size_class).IsStanding(now, this->settings.standing_queue_threshold);
  const Duration wait_limit = (is_standing ? this->settings.standing_queue_wait_limit
                                           : this->settings.burst_wait_limit)[class_index] +
                              (task.is_long ? task.estimate.expected / 2 : Duration(0));
  // The further tasks of an admitted submission only delay work that is queued after them.
  if (!is_first_of_submission || expected_wait <= wait_limit) {
    return {};
  }
  return this->RefuseForExpectedWait(spec.priority_class);
}

Result<void> SchedulerShard::RefuseForExpectedWait(PriorityClass priority_class) {
  if (priority_class == PriorityClass::kBulk) {
    if (!this->automatic_actions.bulk_shedding) {
      ++this->status.bulk_tasks_not_shed;
      return {};
    }
    ++this->status.bulk_tasks_shed;
  }
  return base::MakeErrorResult(ErrorCode::kOverloaded, "the class's queue drains too slowly",
                               "class");
}

void SchedulerShard::CountRefusal(ErrorCode code) {
  switch (code) {
    case ErrorCode::kUnsatisfiable:
      ++this->status.refused_as_unsatisfiable;
      break;
    case ErrorCode::kOverloaded:
      ++this->status.refused_for_overload;
      break;
    case ErrorCode::kDeadlineExceeded:
      ++this->status.refused_for_deadline;
      break;
    default:
      break;
  }
}

base::Error SchedulerShard::MakeUnsatisfiableError(
    const base::Resources& required_resources) const {
  const base::Resources largest = this->target_index.LargestCapacity();
  const char* field = "processors";
  if (required_resources.processors <= largest.processors) {
    field = required_resources.memory > largest.memory ? "memory" : "accelerators";
    if (required_resources.memory <= largest.memory &&
        required_resources.accelerators <= largest.accelerators) {
      field = "resources";
    }
  }
  return {ErrorCode::kUnsatisfiable, field, "no known target could hold the task",
          base::ExecutionVerdict::kNotRun};
}

void SchedulerShard::ScheduleExpiry(TaskRecord& task) {
  if (task.target != nullptr) {
    return;
  }
  task.expiry_iterator = this->expiries.emplace(
      task.deadline - task.estimate.optimistic - kTargetRoundTripTime, &task);
  task.has_expiry = true;
}

void SchedulerShard::EnqueueTask(TaskRecord& task, TimePoint now) {
  task.submission = &this->submissions[task.key->submission];
  ++task.submission->unfinished_count;
  task.submission->queued_tasks.PushBack(task);
  ++task.team->queued_by_class[PriorityClassIndex(task.priority_class)];
  ++this->status.queued_tasks;
  this->QueueOf(task).PushTask(task, now);
}

void SchedulerShard::DequeueTask(TaskRecord& task) {
  this->QueueOf(task).RemoveTask(task);
  task.submission->queued_tasks.Remove(task);
  --task.team->queued_by_class[PriorityClassIndex(task.priority_class)];
  --this->status.queued_tasks;
  if (task.has_expiry) {
    this->expiries.erase(task.expiry_iterator);
    task.has_expiry = false;
  }
}

void SchedulerShard::RemoveFromSubmission(const TaskRecord& task) {
  --task.submission->unfinished_count;
  if (task.submission->unfinished_count == 0) {
    this->submissions.erase(task.key->submission);
  }
}

void SchedulerShard::RemoveTaskRecord(const TaskRecord& task) {
  this->RemoveFromSubmission(task);
  this->tasks.erase(this->tasks.find(*task.key));
}

void SchedulerShard::RefuseExpiredTask(TaskRecord& task, Effects& effects) {
  ++this->status.refused_for_deadline;
  effects.refusals.push_back(
      {*task.key, MakeDeadlineError("the queued task can no longer meet its deadline")});
  this->DequeueTask(task);
  this->RemoveTaskRecord(task);
}

void SchedulerShard::StartReadyTasks(TimePoint now, Effects& effects) {
  while (this->StartNextTask(now, effects)) {
  }
}

bool SchedulerShard::StartNextTask(TimePoint now, Effects& effects) {
  if (this->status.queued_tasks == 0 && this->reserved_targets.empty()) {
    return false;
  }
  if (this->StartOnReservedTargets(now, effects)) {
    return true;
  }
  if (this->target_index.free_slots() == SlotCount(0)) {
    return false;
  }
  if (this->StartFromStarvingQueues(now, effects)) {
    return true;
  }
  for (size_t queue_index = 0; queue_index < kQueueCount; ++queue_index) {
    if (!this->queues[queue_index].empty() && this->IsQueueBelowShareLimits(queue_index) &&
        this->StartFromQueue(queue_index, now, effects)) {
      return true;
    }
  }
  return false;
}

bool SchedulerShard::StartOnReservedTargets(TimePoint now, Effects& effects) {
  for (size_t reservation_index = 0; reservation_index < this->reserved_targets.size();
       ++reservation_index) {
    const ReservedTarget reservation = this->reserved_targets[reservation_index];
    PriorityClassQueue::SizeClass& size_class = this->SizeClassOf(reservation);
    TaskRecord* task = size_class.queue.NextTask(now);
    TargetEntry& target = *reservation.target;
    const bool is_unusable = !this->target_index.IsUsable(target, now);
    if (task == nullptr || is_unusable) {
      this->CancelReservation(reservation_index, now);
      return true;
    }
    if (this->RefuseHeadIfExpired(*task, now, effects)) {
      return true;
    }
    if (this->target_index.CanStartTask(target, task->declared_resources, now)) {
      this->CancelReservation(reservation_index, now);
      this->StartTask(*task, target, now, effects);
      return true;
    }
  }
  return false;
}

bool SchedulerShard::StartFromStarvingQueues(TimePoint now, Effects& effects) {
  for (size_t queue_index = 0; queue_index < kQueueCount; ++queue_index) {
    PriorityClassQueue& queue = this->queues[queue_index];
    if (!queue.IsAnySizeClassStarving(now, this->settings.starvation_threshold) ||
        queue.usage_of_running_tasks().DominantShareOf(this->target_index.usable_capacity()) >=
            this->settings.guaranteed_share[queue_index / 2]) {
      continue;
    }
    for (PriorityClassQueue::SizeClass* size_class :
         queue.SizeClassesToTry(now, this->target_index.free_capacity_version())) {
      if (size_class->IsStarving(now, this->settings.starvation_threshold) &&
          this->StartHeadTask(queue_index, *size_class, now, effects)) {
        return true;
      }
    }
  }
  return false;
}

bool SchedulerShard::StartFromQueue(size_t queue_index, TimePoint now, Effects& effects) {
  PriorityClassQueue& queue = this->queues[queue_index];
  for (PriorityClassQueue::SizeClass* size_class :
       queue.SizeClassesToTry(now, this->target_index.free_capacity_version())) {
    if (this->StartHeadTask(queue_index, *size_class, now, effects)) {
      return true;
    }
  }
  return false;
}

bool SchedulerShard::StartHeadTask(size_t queue_index, PriorityClassQueue::SizeClass& size_class,
                                   TimePoint now, Effects& effects) {
  TaskRecord& task = *size_class.queue.NextTask(now);
  if (this->RefuseHeadIfExpired(task, now, effects)) {
    return true;
  }
  TargetEntry* target = this->target_index.ChooseTarget(task.declared_resources, now);
  if (target == nullptr) {
    this->OnHeadBlocked(queue_index, task, now);
    return false;
  }
  this->StartTask(task, *target, now, effects);
  return true;
}

bool SchedulerShard::RefuseHeadIfExpired(TaskRecord& task, TimePoint now, Effects& effects) {
  if (now + task.estimate.optimistic + kTargetRoundTripTime <= task.deadline) {
    return false;
  }
  this->RefuseExpiredTask(task, effects);
  return true;
}

void SchedulerShard::StartTask(TaskRecord& task, TargetEntry& target, TimePoint now,
                               Effects& effects) {
  PriorityClassQueue& queue = this->QueueOf(task);
  queue.SizeClassAt(task.size_class).blocked_since = TimePoint();
  queue.MarkStarted(task, now);
  task.submission->queued_tasks.Remove(task);
  --task.team->queued_by_class[PriorityClassIndex(task.priority_class)];
  --this->status.queued_tasks;
  ++this->status.started_tasks;
  if (task.has_expiry) {
    this->expiries.erase(task.expiry_iterator);
    task.has_expiry = false;
  }
  task.target = &target;
  this->target_index.Allocate(target, task.declared_resources, now);
  effects.starts.push_back({*task.key, target.state.id});
}

bool SchedulerShard::IsQueueBelowShareLimits(size_t queue_index) const {
  const size_t class_index = queue_index / 2;
  const bool is_long = queue_index % 2 == 1;
  const double headroom = this->settings.headroom_share[class_index] +
                          (is_long ? this->settings.long_work_headroom_share : 0);
  const Usage& total = this->target_index.usable_capacity();
  if (headroom > 0 &&
      this->target_index.usage_on_usable_targets().DominantShareOf(total) >= 1 - headroom) {
    return false;
  }
  if (this->settings.class_share_limit[class_index] < 1) {
    Usage class_usage = this->queues[2 * class_index].usage_of_running_tasks();
    class_usage += this->queues[2 * class_index + 1].usage_of_running_tasks();
    if (class_usage.DominantShareOf(total) >= this->settings.class_share_limit[class_index]) {
      return false;
    }
  }
  return !is_long || this->IsLongWorkBelowShareLimit();
}

bool SchedulerShard::IsLongWorkBelowShareLimit() const {
  Usage long_work_usage;
  for (size_t queue_index = 1; queue_index < kQueueCount; queue_index += 2) {
    long_work_usage += this->queues[queue_index].usage_of_running_tasks();
  }
  return long_work_usage.DominantShareOf(this->target_index.usable_capacity()) <
         this->settings.long_work_share_limit;
}

void SchedulerShard::OnHeadBlocked(size_t queue_index, const TaskRecord& task, TimePoint now) {
  PriorityClassQueue::SizeClass& size_class =
      this->queues[queue_index].SizeClassAt(task.size_class);
  if (size_class.blocked_since == TimePoint()) {
    size_class.blocked_since = now;
  }
  this->ReserveTargetIfDue(queue_index, task, now);
  size_class.blocked_capacity_version = this->target_index.free_capacity_version();
}

void SchedulerShard::ReserveTargetIfDue(size_t queue_index, const TaskRecord& task, TimePoint now) {
  const Duration delay = this->settings.reserve_target_after[queue_index / 2];
  PriorityClassQueue::SizeClass& size_class =
      this->queues[queue_index].SizeClassAt(task.size_class);
  if (now - size_class.blocked_since < delay ||
      size_class.reserved_target_count >= size_class.queue.size()) {
    return;
  }
  const double maximum_share = this->settings.reserved_target_share[queue_index / 2];
  TargetEntry* target =
      this->target_index.ReserveTarget(task.declared_resources, maximum_share, now);
  if (target != nullptr) {
    ++size_class.reserved_target_count;
    this->reserved_targets.push_back({queue_index, task.size_class, target});
  }
}

void SchedulerShard::CancelReservation(size_t reservation_index, TimePoint now) {
  const ReservedTarget reservation = this->reserved_targets[reservation_index];
  --this->SizeClassOf(reservation).reserved_target_count;
  this->reserved_targets[reservation_index] = this->reserved_targets.back();
  this->reserved_targets.pop_back();
  this->target_index.CancelReservation(*reservation.target, now);
}

void SchedulerShard::CancelReservationOf(const TargetEntry& target, TimePoint now) {
  for (size_t reservation_index = 0; reservation_index < this->reserved_targets.size();
       ++reservation_index) {
    if (this->reserved_targets[reservation_index].target == &target) {
      this->CancelReservation(reservation_index, now);
      return;
    }
  }
}

void SchedulerShard::BeginProbations(TimePoint now) {
  for (const TargetId& target : this->target_health.BeginProbations(now)) {
    TargetEntry* entry = this->target_index.FindTarget(target);
    if (entry != nullptr) {
      this->target_index.SetHealth(*entry, HealthState::kProbation, now);
    }
  }
}

}  // namespace sapphirecrank::scheduling
