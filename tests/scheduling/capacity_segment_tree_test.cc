#include "scheduling/capacity_segment_tree.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <tuple>
#include <vector>

namespace sapphirecrank::scheduling {

using base::MilliCores;
using base::Resources;
using base::SlotCount;

TEST_GROUP(CapacitySegmentTree){};

// Guards against a search that returns a position without enough capacity, or that misses one with
// enough, while the tree grows and its positions change. Compares with a linear scan.
TEST(CapacitySegmentTree, FindsFitIfAnyPositionFits) {
  using Change = std::tuple<uint8_t, uint8_t, uint8_t, uint8_t>;
  const bool property_holds = rc::check([](const std::vector<Change>& changes, uint8_t start) {
    CapacitySegmentTree tree;
    std::vector<std::pair<SlotCount, Resources>> free_capacities(16);
    for (const auto& [position, slots, processors, memory] : changes) {
      Resources free;
      free.processors = MilliCores(processors);
      free.memory = base::ByteCount(memory);
      free_capacities[position % 16] = {SlotCount(slots % 3), free};
      tree.SetCapacity(position % 16, SlotCount(slots % 3), free);
    }
    Resources required_resources;
    required_resources.processors = MilliCores(100);
    required_resources.memory = base::ByteCount(100);
    const auto fits = [&](size_t position) {
      return free_capacities[position].first > SlotCount(0) &&
             free_capacities[position].second.CanFit(required_resources);
    };
    bool any_fits = false;
    for (size_t position = 0; position < free_capacities.size(); ++position) {
      any_fits |= fits(position);
    }
    const size_t found = tree.FindFit(required_resources, start % 16);
    RC_ASSERT((found != CapacitySegmentTree::kNotFound) == any_fits);
    RC_ASSERT(tree.CanAnyFit(required_resources) == any_fits);
    // RapidCheck evaluates both sides of "or".
    if (any_fits) {
      RC_ASSERT(fits(found));
    }
  });
  CHECK_TRUE(property_holds);
}

}  // namespace sapphirecrank::scheduling
