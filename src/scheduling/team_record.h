#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/priority_class.h"
#include "base/units.h"

namespace sapphirecrank::scheduling {

/// A team in a shard.
struct TeamRecord {
  /// Place of the team's queue in each fair queue.
  uint32_t index = 0;
  base::Weight weight{1};
  /// Queued tasks, by work class.
  std::array<size_t, base::kPriorityClassCount> queued_by_class{};
};

}  // namespace sapphirecrank::scheduling
