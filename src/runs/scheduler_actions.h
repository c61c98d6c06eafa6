#pragma once

#include <vector>

#include "runs/batch_result.h"
#include "runs/poll_request.h"
#include "runs/returned_tasks.h"
#include "runs/run_decision.h"
#include "runs/run_event.h"
#include "runs/start_request.h"
#include "runs/stop_request.h"

namespace sapphirecrank::runs {

/// What a `ServiceScheduler` has decided to do. The caller executes it after it has released the
/// lock of the scheduler.
struct SchedulerActions {
  std::vector<StartRequest> start_requests;
  std::vector<StopRequest> stop_requests;
  std::vector<PollRequest> poll_requests;
  std::vector<BatchResult> batch_results;
  std::vector<ReturnedTasks> returned_tasks;
  std::vector<RunEvent> run_events;
  std::vector<RunDecision> decisions;
};

}  // namespace sapphirecrank::runs
