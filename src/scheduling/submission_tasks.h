#pragma once

#include <cstddef>

#include "scheduling/task_list.h"

namespace sapphirecrank::scheduling {

/// The tasks of one submission in a shard.
struct SubmissionTasks {
  TaskList<&TaskRecord::submission_links> queued_tasks;
  /// Number of queued and running tasks.
  size_t unfinished_count = 0;
};

}  // namespace sapphirecrank::scheduling
