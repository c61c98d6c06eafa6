#include "runs/waiting_task_summary.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace sapphirecrank::runs {

using base::Resources;
using base::TaskCount;

namespace {

// Bounds the size of a report, which goes to all gateways. Tasks of further kinds count as able to
// use all of the capacity.
constexpr size_t kMaximumKinds = 8;

/// Returns how many tasks that each require `size` fit into `capacity`.
TaskCount CountFittingTasks(const Resources& capacity, const Resources& size) {
  int64_t count = std::numeric_limits<int32_t>::max();
  const auto limit = [&count](int64_t available, int64_t required) {
    if (required > 0) {
      count = std::min(count, available / required);
    }
  };
  limit(capacity.processors.value(), size.processors.value());
  limit(capacity.memory.value(), size.memory.value());
  limit(capacity.accelerators.value(), size.accelerators.value());
  return TaskCount(count);
}

bool IsSuitable(const LeasedTarget& target, const PlacementRule& rule, const Resources& size) {
  return target.report.capacity.CanFit(size) && target.HasRequiredLabel(rule);
}

}  // namespace

WaitingTaskSummary::WaitingTaskSummary(std::vector<const LeasedTarget*> usable_targets)
    : usable_targets(std::move(usable_targets)) {}

void WaitingTaskSummary::AddTo(std::vector<WaitingTasks>& waiting_by_priority,
                               const WaitingTasks& added) {
  if (waiting_by_priority.empty() || waiting_by_priority.back().priority != added.priority) {
    waiting_by_priority.push_back({added.priority, TaskCount(0)});
  }
  waiting_by_priority.back().count += added.count;
}

WaitingTaskSummary::Kind WaitingTaskSummary::MakeKind(const TaskRequirements& requirements) const {
  Kind kind;
  const PlacementRule rule{requirements.required_label, TaskCount(0)};
  for (const LeasedTarget* target : this->usable_targets) {
    if (!IsSuitable(*target, rule, requirements.resources)) {
      kind.suits_all_targets = false;
      continue;
    }
    kind.capacity += CountFittingTasks(target->report.capacity, requirements.resources);
    kind.has_free_target =
        kind.has_free_target || target->FreeResources().CanFit(requirements.resources);
  }
  return kind;
}

void WaitingTaskSummary::Add(const PlacedBatch& placed) {
  const PlacementRule& rule = placed.batch.placement_rule;
  const TaskRequirements requirements{rule.required_label,
                                      placed.batch.tasks.front().required_resources};
  const WaitingTasks waiting{placed.batch.priority,
                             TaskCount(static_cast<int64_t>(placed.waiting_tasks.size()))};
  auto found = this->kinds.find(requirements);
  if (found == this->kinds.end() && this->kinds.size() >= kMaximumKinds) {
    if (std::any_of(this->usable_targets.begin(), this->usable_targets.end(),
                    [&](const LeasedTarget* target) {
                      return IsSuitable(*target, rule, requirements.resources);
                    })) {
      AddTo(this->waiting_by_priority, waiting);
    }
    return;
  }
  if (found == this->kinds.end()) {
    found = this->kinds.emplace(requirements, this->MakeKind(requirements)).first;
  }
  Kind& kind = found->second;
  if (rule.maximum_tasks_per_target > TaskCount(0) && kind.has_free_target) {
    return;  // They wait for other tasks of their own step.
  }
  AddTo(kind.waiting_by_priority, waiting);
  // Tasks that no target can hold aren't ahead of others.
  if (kind.capacity > TaskCount(0)) {
    AddTo(this->waiting_by_priority, waiting);
  }
}

void WaitingTaskSummary::WriteTo(CapacityReport::ServiceCapacity& capacity) const {
  capacity.waiting_by_priority = this->waiting_by_priority;
  for (const WaitingTasks& waiting : this->waiting_by_priority) {
    capacity.waiting_task_count += waiting.count;
  }
  const bool has_free_capacity = capacity.free_task_capacity > TaskCount(0);
  for (const auto& [requirements, kind] : this->kinds) {
    if (!kind.waiting_by_priority.empty() && (!kind.suits_all_targets || has_free_capacity)) {
      capacity.blocked_tasks.push_back({requirements, kind.capacity, kind.waiting_by_priority});
    }
  }
}

}  // namespace sapphirecrank::runs
