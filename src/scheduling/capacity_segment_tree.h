#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/resources.h"
#include "base/units.h"

namespace sapphirecrank::scheduling {

/// Segment tree over positions that finds one with enough free slots and resources.
///
/// Each inner node keeps the largest value of each dimension in its subtree, so that updates and
/// searches take logarithmic time. Thread safety: none; the owner holds its lock.
class CapacitySegmentTree {
 public:
  /// Returned by `FindFit` when no position was found.
  static constexpr size_t kNotFound = SIZE_MAX;

  /// Sets the free slots and resources of `position`, which is added if it is new. A position
  /// without free slots is never found.
  void SetCapacity(size_t position, base::SlotCount slots, const base::Resources& free);

  /// Returns the first position at or after `start`, wrapping around at the end, that has a free
  /// slot and `required_resources`; `kNotFound` if there is none. The largest values of two
  /// dimensions may come from different positions, so a search can visit many nodes in vain. It
  /// stops after a fixed number of nodes and then also returns `kNotFound`.
  size_t FindFit(const base::Resources& required_resources, size_t start) const;

  /// Tells whether any position has a free slot and `required_resources`. The answer is exact, as
  /// the number of visited nodes is not limited. Takes logarithmic time, unless many positions
  /// have enough of one dimension and too little of another.
  bool CanAnyFit(const base::Resources& required_resources) const;

  /// Returns the largest processors, memory and accelerators of any position with free slots. Each
  /// maximum is taken separately; it is zero if there is no such position.
  base::Resources LargestCapacity() const;

 private:
  struct Node {
    int64_t processors = -1;
    int64_t memory = -1;
    int32_t accelerators = -1;
    int32_t slots = 0;

    friend bool operator==(const Node& a, const Node& b) {
      return a.processors == b.processors && a.memory == b.memory &&
             a.accelerators == b.accelerators && a.slots == b.slots;
    }
  };

  static Node ElementwiseMaximum(const Node& a, const Node& b);
  static bool CanNodeFit(const Node& node, const base::Resources& required_resources);
  void GrowTo(size_t position_count);
  size_t FindFitInSubtree(size_t node, size_t first_position, size_t width, size_t start,
                          const base::Resources& required_resources,
                          size_t& remaining_visits) const;

  size_t leaf_count = 1;
  std::vector<Node> nodes = std::vector<Node>(2);
};

}  // namespace sapphirecrank::scheduling
