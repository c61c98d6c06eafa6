#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/resources.h"
#include "base/units.h"

namespace sapphirecrank::scheduling {

/// Finds a position whose free slots and resources hold a need, in logarithmic time.
///
/// A tree over positions; each inner node keeps the largest value of each dimension below it.
/// Thread safety: none; the owner holds its lock.
class CapacitySegmentTree {
 public:
  /// Returned by `Find` when no position fits.
  static constexpr size_t kNotFound = SIZE_MAX;

  /// Sets what is free at `position`, which is added if it is new. A position without free slots is
  /// never found.
  void SetCapacity(size_t position, base::SlotCount slots, const base::Resources& free);

  /// Returns the first position at or after `start`, cyclically, with a free slot and room for
  /// `required_resources`. The search is cut off after a bounded number of nodes, as the largest
  /// values of two dimensions may come from different positions; it then returns `kNone`.
  size_t FindFit(const base::Resources& need, size_t start) const;

  /// Tells exactly whether any position has a slot and room for `required_resources`; logarithmic
  /// unless many positions exceed each other in different dimensions.
  bool CanAnyFit(const base::Resources& need) const;

  /// Returns the largest processors, memory and accelerators of any position, each taken
  /// separately; zero without positions.
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
  static bool CanNodeFit(const Node& node, const base::Resources& need);
  void GrowTo(size_t positions);
  size_t FindFitInSubtree(size_t node, size_t first, size_t width, size_t start,
                          const base::Resources& need, size_t& budget) const;

  size_t leaf_count = 1;
  std::vector<Node> nodes = std::vector<Node>(2);
};

}  // namespace sapphirecrank::scheduling
