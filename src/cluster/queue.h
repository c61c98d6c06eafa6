#pragma once

#include <string>

#include "base/ids.h"
#include "base/time.h"

namespace sapphirecrank::cluster {

/// A queue for jobs of one kind, as operators configure it.
struct Queue {
  base::QueueId name;
  /// Version of the configuration that contains this queue.
  base::Version version;
  /// Host name and path prefix of the HTTP requests that belong to this queue.
  std::string host;
  std::string path_prefix;
  base::ServiceId service;
  base::Priority priority;
  /// A job fails after this many failed runs of one of its tasks.
  base::AttemptCount maximum_attempts{1};
  /// A job meets its objective if it ends within `latency_objective` plus `maximum_slowdown` times
  /// the length of its critical path.
  double maximum_slowdown = 1;
  base::Duration latency_objective{0};
  /// Maximum duration of a request.
  base::Duration request_timeout{0};
};

}  // namespace sapphirecrank::cluster
