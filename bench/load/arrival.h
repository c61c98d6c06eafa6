#pragma once

#include <string>

#include "base/priority_class.h"
#include "base/time.h"

namespace sapphirecrank::load {

/// A request or job and the time at which it is to be sent.
struct Arrival {
  /// Time since the start of the run.
  base::Duration arrival_time{0};
  base::PriorityClass priority_class = base::PriorityClass::kOrdinary;
  int task_count = 1;
  /// Run time of the longest task, which is the ideal response time.
  base::Duration longest_run_time{0};
  std::string request_path;
  std::string request_body;
};

}  // namespace sapphirecrank::load
