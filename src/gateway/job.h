#pragma once

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/job_step.h"

namespace sapphirecrank::gateway {

/// A job as a caller submits it, with what its queue says of it.
struct Job {
  base::SubmissionId id;
  /// The caller's name for its request, for logs; may be empty.
  std::string request_id;
  base::QueueId queue;
  /// Version of the configuration that the queue's values are from.
  base::Version configuration_version;
  base::ServiceId service;
  base::Priority priority;
  base::AttemptCount maximum_attempts{1};
  double maximum_slowdown = 1;
  base::Duration latency_objective{0};
  /// Handed to each task.
  std::string payload;
  std::vector<JobStep> steps;
  /// The job is answered once it is stored, and runs on without its caller.
  bool is_stored = false;
  /// The caller waits this long for the answer.
  base::Duration time_left{0};
};

}  // namespace sapphirecrank::gateway
