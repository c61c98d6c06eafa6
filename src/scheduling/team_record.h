#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/priority_class.h"
#include "base/units.h"

namespace sapphirecrank::scheduling {

/// State of a team in a shard.
struct TeamRecord {
  /// Index of the team in each `FairQueue`.
  uint32_t index = 0;
  base::Weight weight{1};
  /// Number of queued tasks, by priority class.
  std::array<size_t, base::kPriorityClassCount> queued_by_class{};
};

}  // namespace sapphirecrank::scheduling
