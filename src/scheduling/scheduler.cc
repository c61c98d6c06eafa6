#include "scheduling/scheduler.h"

#include <utility>

namespace sapphirecrank::scheduling {

using base::TimePoint;

namespace {
/// One shard for each target kind.
constexpr size_t kShardCount = 2;
}  // namespace

Scheduler::Scheduler(Hooks hooks, const SchedulerSettings& settings)
    : hooks(std::move(hooks)), shards(kShardCount) {
  this->shards.ForEachShard([&](SchedulerShard& shard) { shard.Configure(settings); });
}

base::Result<void> Scheduler::Enqueue(const TaskSpec& task) { return this->Enqueue(&task, 1); }

base::Result<void> Scheduler::EnqueueAll(const std::vector<TaskSpec>& tasks) {
  return this->Enqueue(tasks.data(), tasks.size());
}

base::Result<void> Scheduler::Enqueue(const TaskSpec* tasks, size_t count) {
  if (count == 0) {
    return {};
  }
  const TimePoint now = this->hooks.now();
  Effects effects;
  const base::Result<void> result = this->shards.WithShardAt(
      ShardIndex(tasks->target_kind),
      [&](SchedulerShard& shard) { return shard.Enqueue(tasks, count, now, effects); });
  this->ApplyEffects(effects);
  return result;
}

void Scheduler::UpdateTarget(const TargetState& target) {
  const TimePoint now = this->hooks.now();
  Effects effects;
  this->shards.WithShardAt(ShardIndex(target.kind), [&](SchedulerShard& shard) {
    shard.UpdateTarget(target, now, effects);
  });
  this->ApplyEffects(effects);
}

void Scheduler::RemoveTarget(const base::TargetId& target) {
  const TimePoint now = this->hooks.now();
  this->shards.ForEachShard([&](SchedulerShard& shard) { shard.RemoveTarget(target, now); });
}

void Scheduler::OnTaskEnded(const base::TaskKey& task, const base::TargetId& target,
                            const TaskOutcome& outcome) {
  const TimePoint now = this->hooks.now();
  Effects effects;
  this->shards.ForEachShard(
      [&](SchedulerShard& shard) { shard.OnTaskEnded(task, target, outcome, now, effects); });
  this->ApplyEffects(effects);
}

std::vector<base::TaskKey> Scheduler::CancelSubmission(const base::SubmissionId& submission) {
  std::vector<base::TaskKey> cancelled;
  this->shards.ForEachShard(
      [&](SchedulerShard& shard) { shard.CancelSubmission(submission, cancelled); });
  return cancelled;
}

std::vector<base::TaskKey> Scheduler::CancelTeam(const base::TeamId& team) {
  const TimePoint now = this->hooks.now();
  std::vector<base::TaskKey> cancelled;
  this->shards.ForEachShard([&](SchedulerShard& shard) { shard.CancelTeam(team, now, cancelled); });
  return cancelled;
}

void Scheduler::SetTeamWeight(const base::TeamId& team, base::Weight weight) {
  this->shards.ForEachShard([&](SchedulerShard& shard) { shard.SetTeamWeight(team, weight); });
}

void Scheduler::SetAutomaticActions(const limits::AutomaticActions& actions) {
  const TimePoint now = this->hooks.now();
  Effects effects;
  this->shards.ForEachShard(
      [&](SchedulerShard& shard) { shard.SetAutomaticActions(actions, now, effects); });
  this->ApplyEffects(effects);
}

void Scheduler::Tick() {
  const TimePoint now = this->hooks.now();
  Effects effects;
  this->shards.ForEachShard([&](SchedulerShard& shard) { shard.Tick(now, effects); });
  this->ApplyEffects(effects);
}

LoadSummary Scheduler::LoadOfKind(base::TargetKind kind) {
  const TimePoint now = this->hooks.now();
  return this->shards.WithShardAt(ShardIndex(kind),
                                  [&](SchedulerShard& shard) { return shard.CurrentLoad(now); });
}

SchedulerStatus Scheduler::Status() {
  SchedulerStatus total;
  this->shards.ForEachShard([&](SchedulerShard& shard) { total += shard.Status(); });
  return total;
}

size_t Scheduler::ShardIndex(base::TargetKind kind) { return static_cast<size_t>(kind); }

void Scheduler::ApplyEffects(const Effects& effects) const {
  for (const StartDecision& decision : effects.starts) {
    this->hooks.start_task(decision);
  }
  for (const TaskRefusal& refusal : effects.refusals) {
    this->hooks.on_task_refused(refusal);
  }
}

}  // namespace sapphirecrank::scheduling
