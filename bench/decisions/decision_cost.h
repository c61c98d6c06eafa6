#pragma once

#include <cstddef>

namespace sapphirecrank::bench {

/// Returns the processor time in microseconds for each task start, including its enqueueing and its
/// end, on `targets` targets with tasks of `teams` teams and queues that hold work all the time.
double MeasureDecisionCost(size_t targets, size_t teams);

}  // namespace sapphirecrank::bench
