#pragma once

#include "base/ids.h"
#include "base/priority_class.h"
#include "base/time.h"
#include "base/units.h"

namespace sapphirecrank::limits {

/// Work to be admitted: a request, which is one task, or a job.
struct AdmissionRequest {
  base::TeamId team;
  base::PriorityClass priority_class = base::PriorityClass::kOrdinary;
  base::TaskCount task_count{1};
  base::TimePoint deadline;
};

}  // namespace sapphirecrank::limits
