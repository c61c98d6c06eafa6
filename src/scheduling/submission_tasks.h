#pragma once

#include <cstddef>

#include "scheduling/task_list.h"

namespace sapphirecrank::scheduling {

/// The tasks of one submission in a shard.
struct SubmissionTasks {
  TaskList<&TaskRecord::submission_links> queued;
  /// Queued and running tasks.
  size_t tasks = 0;
};

}  // namespace sapphirecrank::scheduling
