#pragma once

#include <vector>

#include "base/ids.h"
#include "base/priority_class.h"
#include "base/target_kind.h"
#include "base/time.h"
#include "frontend/submitted_task.h"

namespace sapphirecrank::frontend {

/// A request (one task for a runner) or a job (1 to 200 tasks for workers) that a caller submitted.
struct SubmittedWork {
  /// Empty for a request.
  base::SubmissionId submission;
  base::TeamId team;
  base::PriorityClass priority_class = base::PriorityClass::kOrdinary;
  base::TargetKind target_kind = base::TargetKind::kWorker;
  /// Time from the arrival until the deadline.
  base::Duration time_limit{0};
  std::vector<SubmittedTask> tasks;
};

}  // namespace sapphirecrank::frontend
