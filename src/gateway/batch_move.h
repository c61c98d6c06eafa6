#pragma once

#include <string>

#include "base/ids.h"
#include "base/units.h"

namespace sapphirecrank::gateway {

/// Tasks that were placed with one allocator and are placed with another one, for logs and metrics.
struct BatchMove {
  enum class Cause {
    /// The allocator has returned them without being asked.
    kReturned,
    /// The allocator has returned them after a recall.
    kRecalled,
    /// The allocator had no free capacity for them within their wait limit.
    kNotRun,
  };

  base::SubmissionId job;
  base::HostId from;
  base::HostId to;
  base::TaskCount task_count;
  Cause cause = Cause::kReturned;
  /// Why the first allocator has given the tasks up.
  std::string reason;
};

}  // namespace sapphirecrank::gateway
