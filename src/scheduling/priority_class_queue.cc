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
/// A need up to one part in this many of the largest target is small, or medium.
constexpr int64_t kSmallFractionDivisor = 16;
constexpr int64_t kMediumFractionDivisor = 4;
/// A team is charged at most this many times the expected run time more than expected, so that one
/// straggler doesn't keep its team from being served.
constexpr int kMaximumCorrectionFactor = 3;

bool IsWithinFraction(const Resources& need, const Resources& largest, int64_t parts) {
  return need.processors.value() * parts <= largest.processors.value() &&
         need.memory.value() <= largest.memory.value() / parts;
}
}  // namespace

uint8_t PriorityClassQueue::SizeClassIndex(const Resources& need, const Resources& largest) {
  if (need.accelerators > base::AcceleratorCount(0)) {
    return kAcceleratorSizeClass;
  }
  if (largest == Resources() || IsWithinFraction(need, largest, kSmallFractionDivisor)) {
    return kSmallSizeClass;
  }
  return IsWithinFraction(need, largest, kMediumFractionDivisor) ? kMediumSizeClass
                                                                 : kLargeSizeClass;
}

void PriorityClassQueue::PushTask(TaskRecord& task, TimePoint now) {
  SizeClass& lane = this->size_classes[task.size_class];
  if (lane.queue.empty()) {
    lane.nonempty_since = now;
    lane.last_served_at = now;
  }
  ++this->queued_task_count;
  lane.queue.PushTask(task);
  // The new task may be the head and smaller than the one that found no room.
  lane.blocked_capacity_version = 0;
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

void PriorityClassQueue::MarkEnded(const TaskRecord& task, Duration elapsed) {
  this->running_usage -= Usage{kOneSlot, task.declared_resources};
  if (elapsed > Duration(0)) {
    const Duration expected = task.estimate.expected;
    const Duration correction = std::min(elapsed - expected, kMaximumCorrectionFactor * expected);
    this->size_classes[task.size_class].queue.CorrectTeamCharge(*task.team, correction);
  }
}

PriorityClassQueue::SizeClassOrder PriorityClassQueue::SizeClassesToTry(TimePoint now,
                                                                        uint64_t room_version) {
  SizeClassOrder order;
  std::array<TimePoint, kSizeClassCount> enqueued;
  for (SizeClass& lane : this->size_classes) {
    if (lane.queue.empty() || lane.blocked_capacity_version == room_version) {
      continue;
    }
    const TimePoint head = lane.queue.NextTask(now)->enqueued_at;
    size_t place = order.count;
    const auto before = [&](size_t other) {
      // Of lanes whose heads arrived together, the one that was served longest ago goes first.
      return head < enqueued[other] ||
             (head == enqueued[other] &&
              lane.last_served_at < order.size_classes[other]->last_served_at);
    };
    while (place > 0 && before(place - 1)) {
      order.size_classes[place] = order.size_classes[place - 1];
      enqueued[place] = enqueued[place - 1];
      --place;
    }
    order.size_classes[place] = &lane;
    enqueued[place] = head;
    ++order.count;
  }
  return order;
}

Duration PriorityClassQueue::ExpectedWait(const TeamRecord& team, uint8_t lane_number,
                                          double more_work, double floor_rate,
                                          TimePoint now) const {
  const SizeClass& lane = this->size_classes[lane_number];
  if (lane.queue.empty()) {
    return Duration(0);
  }
  const double ahead = lane.queue.WorkAheadSeconds(team) + more_work;
  const double rate = std::max(lane.started_work_rate.RatePerSecond(now), floor_rate);
  constexpr double kLongestSeconds = 3600;
  const double seconds = rate > 0 ? std::min(kLongestSeconds, ahead / rate) : kLongestSeconds;
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

bool PriorityClassQueue::IsAnySizeClassStarving(TimePoint now, Duration age) const {
  return this->queued_task_count > 0 &&
         std::any_of(this->size_classes.begin(), this->size_classes.end(),
                     [&](const SizeClass& lane) { return lane.IsStarving(now, age); });
}

void PriorityClassQueue::OnTaskDequeued(const TaskRecord& task) {
  --this->queued_task_count;
  SizeClass& lane = this->size_classes[task.size_class];
  lane.blocked_capacity_version = 0;
  if (lane.queue.empty()) {
    lane.blocked_since = TimePoint();
  }
}

}  // namespace sapphirecrank::scheduling
