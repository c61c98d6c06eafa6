#include "scheduling/capacity_segment_tree.h"

#include <algorithm>

namespace sapphirecrank::scheduling {

namespace {
/// Nodes that one search may visit; about ten times the depth of a tree over 5,000 targets.
constexpr size_t kMaximumVisitedNodes = 160;
}  // namespace

void CapacitySegmentTree::SetCapacity(size_t position, base::SlotCount slots,
                                      const base::Resources& free) {
  this->GrowTo(position + 1);
  Node leaf;
  if (slots > base::SlotCount(0)) {
    leaf.processors = free.processors.value();
    leaf.memory = free.memory.value();
    leaf.accelerators = free.accelerators.value();
    leaf.slots = slots.value();
  }
  size_t node = this->leaf_count + position;
  this->nodes[node] = leaf;
  while (node > 1) {
    node /= 2;
    const Node larger = ElementwiseMaximum(this->nodes[2 * node], this->nodes[2 * node + 1]);
    if (larger == this->nodes[node]) {
      return;
    }
    this->nodes[node] = larger;
  }
}

size_t CapacitySegmentTree::FindFit(const base::Resources& need, size_t start) const {
  size_t budget = kMaximumVisitedNodes;
  const size_t found = this->FindFitInSubtree(1, 0, this->leaf_count, start, need, budget);
  if (found != kNotFound || start == 0) {
    return found;
  }
  return this->FindFitInSubtree(1, 0, this->leaf_count, 0, need, budget);
}

bool CapacitySegmentTree::CanAnyFit(const base::Resources& need) const {
  size_t unlimited = SIZE_MAX;
  return this->FindFitInSubtree(1, 0, this->leaf_count, 0, need, unlimited) != kNotFound;
}

base::Resources CapacitySegmentTree::LargestCapacity() const {
  const Node& root = this->nodes[1];
  base::Resources largest;
  largest.processors = base::MilliCores(std::max<int64_t>(0, root.processors));
  largest.memory = base::ByteCount(std::max<int64_t>(0, root.memory));
  largest.accelerators = base::AcceleratorCount(std::max<int32_t>(0, root.accelerators));
  return largest;
}

CapacitySegmentTree::Node CapacitySegmentTree::ElementwiseMaximum(const Node& a, const Node& b) {
  Node larger;
  larger.processors = std::max(a.processors, b.processors);
  larger.memory = std::max(a.memory, b.memory);
  larger.accelerators = std::max(a.accelerators, b.accelerators);
  larger.slots = std::max(a.slots, b.slots);
  return larger;
}

bool CapacitySegmentTree::CanNodeFit(const Node& node, const base::Resources& need) {
  return node.slots > 0 && need.processors.value() <= node.processors &&
         need.memory.value() <= node.memory && need.accelerators.value() <= node.accelerators;
}

void CapacitySegmentTree::GrowTo(size_t positions) {
  if (positions <= this->leaf_count) {
    return;
  }
  size_t grown = this->leaf_count;
  while (grown < positions) {
    grown *= 2;
  }
  std::vector<Node> larger(2 * grown);
  std::copy_n(this->nodes.begin() + static_cast<std::ptrdiff_t>(this->leaf_count), this->leaf_count,
              larger.begin() + static_cast<std::ptrdiff_t>(grown));
  for (size_t node = grown - 1; node > 0; --node) {
    larger[node] = ElementwiseMaximum(larger[2 * node], larger[2 * node + 1]);
  }
  this->leaf_count = grown;
  this->nodes = std::move(larger);
}

size_t CapacitySegmentTree::FindFitInSubtree(size_t node, size_t first, size_t width, size_t start,
                                             const base::Resources& need, size_t& budget) const {
  if (first + width <= start || budget == 0 || !CanNodeFit(this->nodes[node], need)) {
    return kNotFound;
  }
  --budget;
  if (width == 1) {
    return first;
  }
  const size_t half = width / 2;
  const size_t left = this->FindFitInSubtree(2 * node, first, half, start, need, budget);
  if (left != kNotFound) {
    return left;
  }
  return this->FindFitInSubtree(2 * node + 1, first + half, half, start, need, budget);
}

}  // namespace sapphirecrank::scheduling
