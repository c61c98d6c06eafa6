#pragma once

#include <vector>

#include "runs/run_event.h"

namespace sapphirecrank::runs {

/// The stored job manager's response to run events.
struct RunEventAcknowledgements {
  /// Events that are durable now, or that concern no stored job.
  std::vector<RunEvent> acknowledged;
  /// Run ends that came after their task was placed again. They must not count, and may be
  /// acknowledged to the target only after its lease has ended.
  std::vector<RunEvent> superseded;
};

}  // namespace sapphirecrank::runs
