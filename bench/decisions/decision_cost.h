#pragma once

#include <cstddef>

namespace sapphirecrank::bench {

/// Returns the processor time in microseconds for each task start, including the enqueueing and the
/// end of the task. The tasks belong to `team_count` teams, and the queue is never empty.
double MeasureDecisionCost(size_t target_count, size_t team_count);

}  // namespace sapphirecrank::bench
