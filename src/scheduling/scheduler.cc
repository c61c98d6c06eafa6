#include "scheduling/scheduler.h"

#include <algorithm>
#include <utility>

namespace sapphirecrank::scheduling {

using base::ErrorCode;
using base::SlotCount;
using base::TimePoint;

namespace {
constexpr size_t kShardCount = 2;
constexpr SlotCount kOneSlot{1};
}  // namespace

Scheduler::Scheduler(Hooks hooks) : hooks(std::move(hooks)), shards(kShardCount) {}

base::Result<void> Scheduler::Enqueue(const TaskSpec& task) {
  const TimePoint now = this->hooks.now();
  if (task.deadline <= now) {
    return base::Fail(ErrorCode::kDeadlineExceeded, "the deadline has passed", "deadline_ms");
  }
  Effects effects;
  this->shards.WithIndex(ShardIndex(task.target_kind), [&](Shard& shard) {
    shard.queue.push_back(task);
    StartQueued(shard, now, effects);
  });
  this->Apply(effects);
  return {};
}

void Scheduler::UpdateTarget(const TargetState& target) {
  const TimePoint now = this->hooks.now();
  Effects effects;
  this->shards.WithIndex(ShardIndex(target.kind), [&](Shard& shard) {
    shard.targets[target.id].state = target;
    StartQueued(shard, now, effects);
  });
  this->Apply(effects);
}

void Scheduler::RemoveTarget(const base::TargetId& target) {
  this->shards.ForEach([&](Shard& shard) { shard.targets.erase(target); });
}

void Scheduler::OnTaskEnded(const base::TaskKey& task, const base::TargetId& target,
                            const TaskOutcome& /*outcome*/) {
  const TimePoint now = this->hooks.now();
  Effects effects;
  this->shards.ForEach([&](Shard& shard) {
    auto running = shard.running.find(task);
    if (running == shard.running.end() || running->second.target != target) {
      return;
    }
    auto found = shard.targets.find(target);
    if (found != shard.targets.end()) {
      found->second.used_slots -= kOneSlot;
      found->second.used -= running->second.declared;
    }
    shard.running.erase(running);
    StartQueued(shard, now, effects);
  });
  this->Apply(effects);
}

std::vector<base::TaskKey> Scheduler::Cancel(const base::SubmissionId& submission) {
  std::vector<base::TaskKey> cancelled;
  this->shards.ForEach([&](Shard& shard) {
    auto kept = std::stable_partition(
        shard.queue.begin(), shard.queue.end(),
        [&](const TaskSpec& task) { return task.key.submission != submission; });
    std::for_each(kept, shard.queue.end(),
                  [&](const TaskSpec& task) { cancelled.push_back(task.key); });
    shard.queue.erase(kept, shard.queue.end());
  });
  return cancelled;
}

void Scheduler::ExpireDue() {
  const TimePoint now = this->hooks.now();
  Effects effects;
  this->shards.ForEach([&](Shard& shard) {
    auto kept = std::stable_partition(shard.queue.begin(), shard.queue.end(),
                                      [&](const TaskSpec& task) { return task.deadline > now; });
    std::for_each(kept, shard.queue.end(), [&](const TaskSpec& task) {
      effects.refusals.push_back({task.key,
                                  {ErrorCode::kDeadlineExceeded, "deadline_ms",
                                   "the deadline passed in the queue", base::Verdict::kNotRun}});
    });
    shard.queue.erase(kept, shard.queue.end());
    StartQueued(shard, now, effects);
  });
  this->Apply(effects);
}

LoadSummary Scheduler::Load(base::TargetKind kind) {
  const TimePoint now = this->hooks.now();
  return this->shards.WithIndex(ShardIndex(kind), [&](Shard& shard) {
    LoadSummary load;
    load.queued = base::TaskCount(static_cast<int64_t>(shard.queue.size()));
    for (const auto& [id, target] : shard.targets) {
      const TargetState& state = target.state;
      if (state.leaving || state.lease_end <= now) {
        continue;
      }
      load.total_slots += state.slots;
      load.free_slots +=
          std::max(SlotCount(0), state.slots - target.used_slots - state.foreign_slots);
      load.largest_processors = std::max(load.largest_processors, state.capacity.processors);
      load.largest_memory = std::max(load.largest_memory, state.capacity.memory);
      load.largest_accelerators = std::max(load.largest_accelerators, state.capacity.accelerators);
    }
    return load;
  });
}

size_t Scheduler::ShardIndex(base::TargetKind kind) { return static_cast<size_t>(kind); }

bool Scheduler::HoldsEver(const Target& target, const TaskSpec& task) {
  return target.state.slots >= kOneSlot && target.state.capacity.Fits(task.declared);
}

bool Scheduler::FitsNow(const Target& target, const TaskSpec& task, TimePoint now) {
  const TargetState& state = target.state;
  if (state.leaving || now < state.usable_from || now >= state.lease_end) {
    return false;
  }
  if (target.used_slots + state.foreign_slots >= state.slots) {
    return false;
  }
  base::Resources free = state.capacity;
  free -= target.used;
  return free.Fits(task.declared);
}

Scheduler::Target* Scheduler::LeastLoaded(Shard& shard, const TaskSpec& task, TimePoint now) {
  Target* best = nullptr;
  for (auto& [id, target] : shard.targets) {
    if (!HoldsEver(target, task) || !FitsNow(target, task, now)) {
      continue;
    }
    if (best == nullptr || target.used_slots < best->used_slots) {
      best = &target;
    }
  }
  return best;
}

void Scheduler::StartQueued(Shard& shard, TimePoint now, Effects& effects) {
  while (!shard.queue.empty()) {
    const TaskSpec task = shard.queue.front();
    Target* target = LeastLoaded(shard, task, now);
    if (target == nullptr) {
      return;
    }
    shard.queue.pop_front();
    target->used_slots += kOneSlot;
    target->used += task.declared;
    shard.running[task.key] = {target->state.id, task.declared};
    effects.starts.push_back({task.key, target->state.id});
  }
}

void Scheduler::Apply(const Effects& effects) const {
  for (const StartDecision& decision : effects.starts) {
    this->hooks.start(decision);
  }
  for (const TaskRefusal& refusal : effects.refusals) {
    this->hooks.refuse(refusal);
  }
}

}  // namespace sapphirecrank::scheduling
