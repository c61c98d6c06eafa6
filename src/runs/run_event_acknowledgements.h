#pragma once

#include <vector>

#include "runs/run_event.h"

namespace sapphirecrank::runs {

/// The keeper's answers to notices.
struct RunEventAcknowledgements {
  /// What they tell is durable, or concerns no stored job.
  std::vector<RunEvent> acknowledged;
  /// Ends that came after their task was placed again: they must not count, and a target may only
  /// be told so after its lease has ended.
  std::vector<RunEvent> superseded;
};

}  // namespace sapphirecrank::runs
