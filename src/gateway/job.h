#pragma once

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/job_step.h"

namespace sapphirecrank::gateway {

/// A job as a caller submits it, with the values that its queue configures.
struct Job {
  base::SubmissionId id;
  /// The request id that the caller has chosen, for logs; may be empty.
  std::string request_id;
  base::QueueId queue;
  /// Version of the configuration that the values of the queue are from.
  base::Version configuration_version;
  base::ServiceId service;
  base::Priority priority;
  base::AttemptCount maximum_attempts{1};
  /// See the same members of `cluster::Queue`.
  double maximum_slowdown = 1;
  base::Duration latency_objective{0};
  /// Input of each task.
  std::string payload;
  std::vector<JobStep> steps;
  /// The caller gets its response once the job is stored; the job then runs without its caller.
  bool is_stored = false;
  /// How long the caller waits for the result, from the submission.
  base::Duration time_left{0};
};

}  // namespace sapphirecrank::gateway
