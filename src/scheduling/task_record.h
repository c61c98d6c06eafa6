#pragma once

#include <cstdint>
#include <map>

#include "base/priority_class.h"
#include "base/resources.h"
#include "base/task_key.h"
#include "base/time.h"
#include "scheduling/run_time_estimate.h"
#include "scheduling/run_time_estimator.h"
#include "scheduling/task_links.h"

namespace sapphirecrank::scheduling {

struct SubmissionTasks;
struct TargetEntry;
struct TeamRecord;

/// A task that is queued or running in a shard. Its address is stable.
struct TaskRecord {
  using ExpiryMap = std::multimap<base::TimePoint, TaskRecord*>;

  /// Key of this record in the shard's map.
  const base::TaskKey* key = nullptr;
  TeamRecord* team = nullptr;
  SubmissionTasks* submission = nullptr;
  RunTimeEstimator::Handle kind_handle;
  base::Resources declared_resources;
  base::Duration declared_run_time{0};
  RunTimeEstimate estimate;
  base::TimePoint deadline;
  base::TimePoint enqueued_at;
  base::PriorityClass priority_class = base::PriorityClass::kOrdinary;
  bool is_long = false;
  /// Index of the size class in the `PriorityClassQueue`.
  uint8_t size_class = 0;
  /// Level in the `TeamQueue`, by expected run time.
  uint8_t run_time_level = 0;
  TaskLinks queue_links;
  TaskLinks submission_links;
  bool has_expiry = false;
  /// Entry in the shard's `expiries`; valid only if `has_expiry`.
  ExpiryMap::iterator expiry_iterator;
  /// Target that runs the task, or null while it is queued.
  TargetEntry* target = nullptr;
};

}  // namespace sapphirecrank::scheduling
