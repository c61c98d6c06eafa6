#include "scheduling/capacity_segment_tree.h"

#include <algorithm>

namespace sapphirecrank::scheduling {

namespace {
/// Maximum number of nodes that one call of `FindFit` visits; about ten times the depth of a tree
/// over 5,000 targets.
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
    const Node maximum = ElementwiseMaximum(this->nodes[2 * node], this->nodes[2 * node + 1]);
    if (maximum == this->nodes[node]) {
      return;
    }
    this->nodes[node] = maximum;
  }
}

size_t CapacitySegmentTree::FindFit(const base::Resources& required_resources, size_t start) const {
  size_t remaining_visits = kMaximumVisitedNodes;
  const size_t found =
      this->FindFitInSubtree(1, 0, this->leaf_count, start, required_resources, remaining_visits);
  if (found != kNotFound || start == 0) {
    return found;
  }
  return this->FindFitInSubtree(1, 0, this->leaf_count, 0, required_resources, remaining_visits);
}

bool CapacitySegmentTree::CanAnyFit(const base::Resources& required_resources) const {
  size_t unlimited = SIZE_MAX;
  return this->FindFitInSubtree(1, 0, this->leaf_count, 0, required_resources, unlimited) !=
         kNotFound;
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
  Node maximum;
  maximum.processors = std::max(a.processors, b.processors);
  maximum.memory = std::max(a.memory, b.memory);
  maximum.accelerators = std::max(a.accelerators, b.accelerators);
  maximum.slots = std::max(a.slots, b.slots);
  return maximum;
}

bool CapacitySegmentTree::CanNodeFit(const Node& node, const base::Resources& required_resources) {
  return node.slots > 0 && required_resources.processors.value() <= node.processors &&
         required_resources.memory.value() <= node.memory &&
         required_resources.accelerators.value() <= node.accelerators;
}

void CapacitySegmentTree::GrowTo(size_t position_count) {
  if (position_count <= this->leaf_count) {
    return;
  }
  size_t new_leaf_count = this->leaf_count;
  while (new_leaf_count < position_count) {
    new_leaf_count *= 2;
  }
  std::vector<Node> new_nodes(2 * new_leaf_count);
  std::copy_n(this->nodes.begin() + static_cast<std::ptrdiff_t>(this->leaf_count), this->leaf_count,
              new_nodes.begin() + static_cast<std::ptrdiff_t>(new_leaf_count));
  for (size_t node = new_leaf_count - 1; node > 0; --node) {
    new_nodes[node] = ElementwiseMaximum(new_nodes[2 * node], new_nodes[2 * node + 1]);
  }
  this->leaf_count = new_leaf_count;
  this->nodes = std::move(new_nodes);
}

size_t CapacitySegmentTree::FindFitInSubtree(size_t node, size_t first_position, size_t width,
                                             size_t start,
                                             const base::Resources& required_resources,
                                             size_t& remaining_visits) const {
  if (first_position + width <= start || remaining_visits == 0 ||
      !CanNodeFit(this->nodes[node], required_resources)) {
    return kNotFound;
  }
  --remaining_visits;
  if (width == 1) {
    return first_position;
  }
  const size_t half = width / 2;
  const size_t found_left = this->FindFitInSubtree(2 * node, first_position, half, start,
                                                   required_resources, remaining_visits);
  if (found_left != kNotFound) {
    return found_left;
  }
  return this->FindFitInSubtree(2 * node + 1, first_position + half, half, start,
                                required_resources, remaining_visits);
}

}  // namespace sapphirecrank::scheduling
