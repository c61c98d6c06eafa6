#pragma once

#include <string>

#include "base/ids.h"
#include "base/time.h"

namespace sapphirecrank::cluster {

/// An entrance for jobs of one sort, as operators configure it.
struct Queue {
  base::QueueId name;
  /// Version of the configuration that this is from.
  base::Version version;
  /// Host name and beginning of the path of the requests that belong to the queue.
  std::string host;
  std::string path_prefix;
  base::ServiceId service;
  base::Priority priority;
  /// Failed runs of a task after which its job fails.
  base::AttemptCount maximum_attempts{1};
  /// A job is in time if it ends within `maximum_slowdown` times its longest chain of work and
  /// `latency_objective`.
  double maximum_slowdown = 1;
  base::Duration latency_objective{0};
  /// Longest time for a request.
  base::Duration request_timeout{0};
};

}  // namespace sapphirecrank::cluster
