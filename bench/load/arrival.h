#pragma once

#include <string>

#include "base/priority_class.h"
#include "base/time.h"

namespace sapphirecrank::load {

/// One request or job with the time at which it is to be sent.
struct Arrival {
  /// Since the begin of the run.
  base::Duration arrival_time{0};
  base::PriorityClass priority_class = base::PriorityClass::kOrdinary;
  int task_count = 1;
  /// Run time of the task that runs longest: the ideal response time.
  base::Duration longest_run_time{0};
  std::string request_path;
  std::string request_body;
};

}  // namespace sapphirecrank::load
