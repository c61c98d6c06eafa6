#include "scheduling/priority_class_queue.h"

#include <algorithm>
#include <array>

#include "scheduling/seconds.h"

namespace sapphirecrank::scheduling {

using base::Duration;
using base::Resources;
using base::SlotCount;
using base::TimePoint;

namespace {
constexpr SlotCount kOneSlot{1};
constexpr uint8_t kSmallSizeClass = 0;
constexpr uint8_t kMediumSizeClass = 1;
constexpr uint8_t kLargeSizeClass = 2;
constexpr uint8_t kAcceleratorSizeClass = 3;
/// A small or medium task needs at most the resources of the largest target divided by this number.
constexpr int64_t kSmallFractionDivisor = 16;
constexpr int64_t kMediumFractionDivisor = 4;
/// A team's charge for a task grows by at most this many times the expected run time, so that one
/// straggler doesn't keep its team from being served.
constexpr int kMaximumCorrectionFactor = 3;

bool IsWithinFraction(const Resources& required_resources, const Resources& largest,
                      int64_t divisor) {
  return required_resources.processors.value() * divisor <= largest.processors.value() &&
         required_resources.memory.value() <= largest.memory.value() / divisor;
}
}  // namespace

uint8_t PriorityClassQueue::SizeClassIndex(const Resources& required_resources,
                                           const Resources& largest) {
  if (required_resources.accelerators > base::AcceleratorCount(0)) {
    return kAcceleratorSizeClass;
  }
  if (largest == Resources() ||
      IsWithinFraction(required_resources, largest, kSmallFractionDivisor)) {
    return kSmallSizeClass;
  }
  return IsWithinFraction(required_resources, largest, kMediumFractionDivisor) ? kMediumSizeClass
                                                                               : kLargeSizeClass;
}

void PriorityClassQueue::PushTask(TaskRecord& task, TimePoint now) {
  SizeClass& size_class = this->size_classes[task.size_class];
  if (size_class.queue.empty()) {
    size_class.nonempty_since = now;
    size_class.last_served_at = now;
  }
  ++this->queued_task_count;
  size_class.queue.PushTask(task);
  // The new task may be the head task and need less than the one that found no target.
  size_class.blocked_capacity_version = 0;
}

void PriorityClassQueue::RemoveTask(TaskRecord& task) {
  this->size_classes[task.size_class].queue.RemoveTask(task);
  this->OnTaskDequeued(task);
}

void PriorityClassQueue::MarkStarted(TaskRecord& task, TimePoint now) {
  this->size_classes[task.size_class].queue.RemoveAndCharge(task);
  this->OnTaskDequeued(task);
  this->running_usage += Usage{kOneSlot, task.declared_resources};
  this->size_classes[task.size_class].started_work_rate.Add(ToSeconds(task.estimate.expected), now);
  this->size_classes[task.size_class].last_served_at = now;
}

void PriorityClassQueue::MarkEnded(const TaskRecord& task, Duration response_time) {
  this->running_usage -= Usage{kOneSlot, task.declared_resources};
  if (response_time > Duration(0)) {
    const Duration expected = task.estimate.expected;
    const Duration correction =
        std::min(response_time - expected, kMaximumCorrectionFactor * expected);
    this->size_classes[task.size_class].queue.CorrectTeamCharge(*task.team, correction);
  }
}

PriorityClassQueue::SizeClassOrder PriorityClassQueue::SizeClassesToTry(
    TimePoint now, uint64_t free_capacity_version) {
  SizeClassOrder order;
  std::array<TimePoint, kSizeClassCount> head_times;
  for (SizeClass& size_class : this->size_classes) {
    if (size_class.queue.empty() || size_class.blocked_capacity_version == free_capacity_version) {
      continue;
    }
    const TimePoint head_enqueued_at = size_class.queue.NextTask(now)->enqueued_at;
    size_t position = order.count;
    const auto goes_before = [&](size_t other_position) {
      // If two head tasks were queued at the same time, the size class that was served longer ago
      // goes first.
      return head_enqueued_at < head_times[other_position] ||
             (head_enqueued_at == head_times[other_position] &&
              size_class.last_served_at < order.size_classes[other_position]->last_served_at);
    };
    while (position > 0 && goes_before(position - 1)) {
      order.size_classes[position] = order.size_classes[position - 1];
      head_times[position] = head_times[position - 1];
      --position;
    }
    order.size_classes[position] = &size_class;
    head_times[position] = head_enqueued_at;
    ++order.count;
  }
  return order;
}

Duration PriorityClassQueue::ExpectedWait(const TeamRecord& team, uint8_t size_class_index,
                                          double additional_seconds, double minimum_rate,
                                          TimePoint now) const {
  const SizeClass& size_class = this->size_classes[size_class_index];
  if (size_class.queue.empty()) {
    return Duration(0);
  }
  const double work_ahead_seconds = size_class.queue.WorkAheadSeconds(team) + additional_seconds;
  const double work_rate = std::max(size_class.started_work_rate.RatePerSecond(now), minimum_rate);
  constexpr double kMaximumWaitSeconds = 3600;
  const double wait_seconds = work_rate > 0
                                  ? std::min(kMaximumWaitSeconds, work_ahead_seconds / work_rate)
                                  : kMaximumWaitSeconds;
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait_seconds));
}

bool PriorityClassQueue::IsAnySizeClassStarving(TimePoint now, Duration threshold) const {
  return this->queued_task_count > 0 &&
         std::any_of(
             this->size_classes.begin(), this->size_classes.end(),
             [&](const SizeClass& size_class) { return size_class.IsStarving(now, threshold); });
}

void PriorityClassQueue::OnTaskDequeued(const TaskRecord& task) {
  --this->queued_task_count;
  SizeClass& size_class = this->size_classes[task.size_class];
  size_class.blocked_capacity_version = 0;
  if (size_class.queue.empty()) {
    size_class.blocked_since = TimePoint();
  }
}

}  // namespace sapphirecrank::scheduling
