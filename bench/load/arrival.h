#pragma once

#include <string>

#include "base/time.h"
#include "base/work_class.h"

namespace sapphirecrank::load {

/// One request or job with the time at which it is to be sent.
struct Arrival {
  /// Since the begin of the run.
  base::Duration at{0};
  base::PriorityClass work_class = base::PriorityClass::kOrdinary;
  int tasks = 1;
  /// Run time of the task that runs longest: the ideal response time.
  base::Duration longest{0};
  std::string path;
  std::string body;
};

}  // namespace sapphirecrank::load
