#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/resources.h"
#include "base/time.h"
#include "scheduling/fair_queue.h"
#include "scheduling/rate_meter.h"
#include "scheduling/task_record.h"
#include "scheduling/usage.h"

namespace sapphirecrank::scheduling {

/// The queued short or long tasks of one work class, and what its running tasks hold.
///
/// Tasks queue in lanes by the share of the largest target that they need, so that a task that
/// finds no room holds up only tasks of its size. Thread safety: none; the owner holds its lock.
class PriorityClassQueue {
 public:
  /// Lanes for small, medium and large tasks, and for tasks that need accelerators.
  static constexpr size_t kSizeClassCount = 4;

  /// State of one lane. Public for the shard, which decides what starts.
  struct SizeClass {
    FairQueue queue;
    /// Version of the room on the targets in which the head found no place; zero if it wasn't
    /// tried.
    uint64_t blocked_capacity_version = 0;
    /// When the head first found no place, or zero.
    base::TimePoint blocked_since;
    /// Targets that are kept free for the lane.
    size_t reserved_target_count = 0;
    /// Seconds of expected run time that were started.
    RateMeter started_work_rate;
    /// Since when tasks have been queued without a break.
    base::TimePoint nonempty_since;
    /// Time of the last start, or of the first task that was queued after the lane was empty.
    base::TimePoint last_served_at;

    /// Tells whether tasks have been queued without a break for `age`.
    bool IsStanding(base::TimePoint now, base::Duration age) const {
      return !this->queue.empty() && now - this->nonempty_since >= age;
    }

    /// Tells whether tasks are queued and none started for `age`.
    bool IsStarving(base::TimePoint now, base::Duration age) const {
      return !this->queue.empty() && now - this->last_served_at >= age;
    }
  };

  /// Lanes in the order in which they are tried.
  struct SizeClassOrder {
    std::array<SizeClass*, kSizeClassCount> size_classes{};
    size_t count = 0;

    SizeClass* const* begin() const { return this->size_classes.data(); }
    SizeClass* const* end() const { return this->size_classes.data() + this->count; }
  };

  /// Returns the lane for a task with `required_resources`, given the largest resources of any one
  /// target.
  static uint8_t SizeClassIndex(const base::Resources& need, const base::Resources& largest);

  /// Queues a task.
  void PushTask(TaskRecord& task, base::TimePoint now);

  /// Takes out a task that will not be started. Precondition: it is in this queue.
  void RemoveTask(TaskRecord& task);

  /// Moves a task from queued to running. Precondition: it is in this queue.
  void MarkStarted(TaskRecord& task, base::TimePoint now);

  /// Counts the end of a running task, which took `response_time` or, if it is zero, an unknown
  /// time.
  void MarkEnded(const TaskRecord& task, base::Duration elapsed);

  /// Returns the lanes whose head is to be tried, the one whose head waits longest first.
  /// `free_capacity_version` is the present version of the room on the targets.
  SizeClassOrder SizeClassesToTry(base::TimePoint now, uint64_t room_version);

  /// Returns the lane of a task.
  SizeClass& SizeClassAt(size_t lane) { return this->size_classes[lane]; }
  const SizeClass& SizeClassAt(size_t lane) const { return this->size_classes[lane]; }

  /// Returns the expected wait of a new task of the team in `size_class`, behind `more_work`
  /// seconds of work in addition to what is queued, when at least `floor_rate` seconds of work
  /// start each second.
  base::Duration ExpectedWait(const TeamRecord& team, uint8_t lane, double more_work,
                              double floor_rate, base::TimePoint now) const;

  /// Tells whether any lane is starving.
  bool IsAnySizeClassStarving(base::TimePoint now, base::Duration age) const;

  /// Tells whether no task is queued.
  bool empty() const { return this->queued_task_count == 0; }

  /// Returns the number of queued tasks.
  size_t size() const { return this->queued_task_count; }

  /// Returns what running tasks hold.
  const Usage& usage_of_running_tasks() const { return this->running_usage; }

 private:
  void OnTaskDequeued(const TaskRecord& task);

  std::array<SizeClass, kSizeClassCount> size_classes;
  size_t queued_task_count = 0;
  Usage running_usage;
};

}  // namespace sapphirecrank::scheduling
