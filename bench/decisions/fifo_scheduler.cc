#include "bench/decisions/fifo_scheduler.h"

#include <algorithm>
#include <utility>

namespace sapphirecrank::bench {

using scheduling::TaskSpec;

namespace {
constexpr base::SlotCount kOneSlot{1};
}  // namespace

FifoScheduler::FifoScheduler(scheduling::Scheduler::Hooks hooks, bool chooses_random_target)
    : hooks(std::move(hooks)), chooses_random_target(chooses_random_target) {}

base::Result<void> FifoScheduler::EnqueueAll(const std::vector<TaskSpec>& tasks) {
  if (!std::all_of(tasks.begin(), tasks.end(),
                   [this](const TaskSpec& task) { return this->CanEverFit(task); })) {
    return base::MakeErrorResult(base::ErrorCode::kUnsatisfiable,
                                 "the task fits on no known target");
  }
  this->queue.insert(this->queue.end(), tasks.begin(), tasks.end());
  this->StartQueued();
  return {};
}

void FifoScheduler::UpdateTarget(const scheduling::TargetState& target) {
  auto [found, is_new] = this->target_indices.try_emplace(target.id, this->targets.size());
  if (is_new) {
    this->targets.emplace_back();
  }
  this->targets[found->second].state = target;
  this->StartQueued();
}

void FifoScheduler::OnTaskEnded(const base::TaskKey& task, const base::TargetId& target,
                                const scheduling::TaskOutcome& /*outcome*/) {
  auto running_task = this->running_resources.find(task);
  if (running_task == this->running_resources.end()) {
    return;
  }
  Target& target_entry = this->targets[this->target_indices[target]];
  target_entry.used_slots -= kOneSlot;
  target_entry.used_resources -= running_task->second;
  this->running_resources.erase(running_task);
  this->StartQueued();
}

std::vector<base::TaskKey> FifoScheduler::CancelSubmission(const base::SubmissionId& submission) {
  // The tasks are dropped when they reach the head, which is cheaper than searching the queue.
  this->cancelled_submissions.insert(submission);
  return {};
}

void FifoScheduler::Tick() { this->StartQueued(); }

bool FifoScheduler::CanEverFit(const TaskSpec& task) const {
  return this->targets.empty() ||
         std::any_of(this->targets.begin(), this->targets.end(), [&](const Target& target) {
           return target.state.capacity.CanFit(task.declared_resources);
         });
}

bool FifoScheduler::CanFit(const Target& target, const TaskSpec& task) const {
  base::Resources free = target.state.capacity;
  free -= target.used_resources;
  return target.used_slots < target.state.slots && this->hooks.now() < target.state.lease_end &&
         free.CanFit(task.declared_resources);
}

FifoScheduler::Target* FifoScheduler::ChooseTarget(const TaskSpec& task) {
  Target* best = nullptr;
  size_t fitting_count = 0;
  for (Target& target : this->targets) {
    if (!this->CanFit(target, task)) {
      continue;
    }
    ++fitting_count;
    const bool is_better = this->chooses_random_target
                               ? this->random_engine() % fitting_count == 0
                               : best == nullptr || target.used_slots < best->used_slots;
    best = is_better ? &target : best;
  }
  return best;
}

void FifoScheduler::StartQueued() {
  while (!this->queue.empty()) {
    const TaskSpec task = this->queue.front();
    if (this->cancelled_submissions.count(task.key.submission) > 0) {
      this->queue.pop_front();
      continue;
    }
    if (task.deadline <= this->hooks.now()) {
      this->queue.pop_front();
      this->hooks.on_task_refused(
          {task.key,
           {base::ErrorCode::kDeadlineExceeded, "deadline_ms",
            "the deadline passed before the task could start", base::ExecutionVerdict::kNotRun}});
      continue;
    }
    Target* target = this->ChooseTarget(task);
    if (target == nullptr) {
      return;
    }
    this->queue.pop_front();
    target->used_slots += kOneSlot;
    target->used_resources += task.declared_resources;
    this->running_resources[task.key] = task.declared_resources;
    this->hooks.start_task({task.key, target->state.id});
  }
}

}  // namespace sapphirecrank::bench
