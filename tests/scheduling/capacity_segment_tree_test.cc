#include "scheduling/capacity_segment_tree.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <tuple>
#include <vector>

namespace sapphirecrank::scheduling {

using base::MilliCores;
using base::Resources;
using base::SlotCount;

TEST_GROUP(FitTree){};

// Guards against a found position without room, and against room that isn't found, as the tree
// grows and its positions change.
TEST(FitTree, AgreesWithAScan) {
  using Change = std::tuple<uint8_t, uint8_t, uint8_t, uint8_t>;
  const bool holds = rc::check([](const std::vector<Change>& changes, uint8_t start) {
    CapacitySegmentTree tree;
    std::vector<std::pair<SlotCount, Resources>> room(16);
    for (const auto& [position, slots, processors, memory] : changes) {
      Resources free;
      free.processors = MilliCores(processors);
      free.memory = base::ByteCount(memory);
      room[position % 16] = {SlotCount(slots % 3), free};
      tree.SetCapacity(position % 16, SlotCount(slots % 3), free);
    }
    Resources need;
    need.processors = MilliCores(100);
    need.memory = base::ByteCount(100);
    const auto fits = [&](size_t position) {
      return room[position].first > SlotCount(0) && room[position].second.CanFit(need);
    };
    bool any = false;
    for (size_t position = 0; position < room.size(); ++position) {
      any |= fits(position);
    }
    const size_t found = tree.FindFit(need, start % 16);
    RC_ASSERT((found != CapacitySegmentTree::kNotFound) == any);
    RC_ASSERT(tree.CanAnyFit(need) == any);
    // RapidCheck evaluates both sides of "or".
    if (any) {
      RC_ASSERT(fits(found));
    }
  });
  CHECK_TRUE(holds);
}

}  // namespace sapphirecrank::scheduling
