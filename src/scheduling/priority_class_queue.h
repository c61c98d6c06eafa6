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

/// The queued short tasks, or the queued long tasks, of one priority class, and the resources that
/// its running tasks use.
///
/// Tasks are queued by size class, that is by the share of the largest target that they need. A
/// task that no target can take at the moment therefore blocks only tasks of its size class. Thread
/// safety: none; the owner holds its lock.
class PriorityClassQueue {
 public:
  /// Size classes: small, medium and large tasks, and tasks that need accelerators.
  static constexpr size_t kSizeClassCount = 4;

  /// State of one size class. Public for `SchedulerShard`, which decides which task starts.
  struct SizeClass {
    FairQueue queue;
    /// `TargetIndex::free_capacity_version` when the head task last found no target; zero if the
    /// current head task has not been tried.
    uint64_t blocked_capacity_version = 0;
    /// Time at which a head task first found no target since the last start or since the queue was
    /// last empty, whichever is later; zero if each one found a target.
    base::TimePoint blocked_since;
    /// Number of targets that are reserved for this size class.
    size_t reserved_target_count = 0;
    /// Rate at which work starts, in seconds of expected run time per second.
    RateMeter started_work_rate;
    /// Time at which the first task was queued after the queue was empty.
    base::TimePoint nonempty_since;
    /// Time of the last start, or of the first task that was queued after the queue was empty.
    base::TimePoint last_served_at;

    /// Tells whether tasks have been queued without a break for at least `threshold`.
    bool IsStanding(base::TimePoint now, base::Duration threshold) const {
      return !this->queue.empty() && now - this->nonempty_since >= threshold;
    }

    /// Tells whether tasks are queued and none has started for at least `threshold`.
    bool IsStarving(base::TimePoint now, base::Duration threshold) const {
      return !this->queue.empty() && now - this->last_served_at >= threshold;
    }
  };

  /// Size classes in the order in which they are tried.
  struct SizeClassOrder {
    std::array<SizeClass*, kSizeClassCount> size_classes{};
    size_t count = 0;

    SizeClass* const* begin() const { return this->size_classes.data(); }
    SizeClass* const* end() const { return this->size_classes.data() + this->count; }
  };

  /// Returns the index of the size class of a task that needs `required_resources`. `largest` has
  /// the largest processors, memory and accelerators of any target. While no target is known, each
  /// task that needs no accelerators counts as small.
  static uint8_t SizeClassIndex(const base::Resources& required_resources,
                                const base::Resources& largest);

  /// Appends a task to the queue of its size class.
  void PushTask(TaskRecord& task, base::TimePoint now);

  /// Removes a task that will not be started. Precondition: it is in this queue.
  void RemoveTask(TaskRecord& task);

  /// Moves a task from queued to running. Precondition: it is in this queue.
  void MarkStarted(TaskRecord& task, base::TimePoint now);

  /// Releases the resources of a running task that ended and corrects its team's charge.
  /// `response_time` is zero if unknown; the charge then doesn't change.
  void MarkEnded(const TaskRecord& task, base::Duration response_time);

  /// Returns the size classes whose head task may find a target, the one whose head task has waited
  /// longest first. `free_capacity_version` is the current `TargetIndex::free_capacity_version`;
  /// size classes whose head task already found no target in this version are left out.
  SizeClassOrder SizeClassesToTry(base::TimePoint now, uint64_t free_capacity_version);

  /// Returns the size class at `index`. Precondition: `index` < `kSizeClassCount`.
  SizeClass& SizeClassAt(size_t index) { return this->size_classes[index]; }
  const SizeClass& SizeClassAt(size_t index) const { return this->size_classes[index]; }

  /// Returns the expected wait of a new task of the team in a size class, at most one hour. The
  /// task waits for `additional_seconds` of expected run time besides the queued tasks. The size
  /// class is assumed to start at least `minimum_rate` seconds of expected run time per second.
  base::Duration ExpectedWait(const TeamRecord& team, uint8_t size_class_index,
                              double additional_seconds, double minimum_rate,
                              base::TimePoint now) const;

  /// Tells whether any size class has queued tasks and has started none for at least `threshold`.
  bool IsAnySizeClassStarving(base::TimePoint now, base::Duration threshold) const;

  /// Tells whether no task is queued.
  bool empty() const { return this->queued_task_count == 0; }

  /// Returns the number of queued tasks.
  size_t size() const { return this->queued_task_count; }

  /// Returns the slots and resources that the running tasks use.
  const Usage& usage_of_running_tasks() const { return this->running_usage; }

 private:
  void OnTaskDequeued(const TaskRecord& task);

  std::array<SizeClass, kSizeClassCount> size_classes;
  size_t queued_task_count = 0;
  Usage running_usage;
};

}  // namespace sapphirecrank::scheduling
