#pragma once

#include <algorithm>
#include <cstdint>

#include "base/resources.h"
#include "base/units.h"

namespace sapphirecrank::scheduling {

/// Slots and resources that a group of tasks holds or a group of targets has.
struct Usage {
  base::SlotCount slots;
  base::Resources resources;

  Usage& operator+=(const Usage& other) {
    this->slots += other.slots;
    this->resources += other.resources;
    return *this;
  }
  Usage& operator-=(const Usage& other) {
    this->slots -= other.slots;
    this->resources -= other.resources;
    return *this;
  }

  /// Returns the share of `total` that this takes in the scarcest dimension; a dimension of which
  /// `total` has nothing is left out. Thread safety: pure.
  double ShareOf(const Usage& total) const {
    double share = Ratio(this->slots.value(), total.slots.value());
    share = std::max(share,
                     Ratio(this->resources.processors.value(), total.resources.processors.value()));
    share = std::max(share, Ratio(this->resources.memory.value(), total.resources.memory.value()));
    return std::max(
        share, Ratio(this->resources.accelerators.value(), total.resources.accelerators.value()));
  }

 private:
  static double Ratio(int64_t part, int64_t whole) {
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
  }
};

}  // namespace sapphirecrank::scheduling
