#pragma once

#include <algorithm>
#include <cstdint>

#include "base/resources.h"
#include "base/units.h"

namespace sapphirecrank::scheduling {

/// Slots and resources that a group of tasks uses or a group of targets has.
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

  /// Returns the dominant share: the largest share of `total` that this takes in any dimension.
  /// Dimensions that are zero in `total` are left out. Thread safety: pure.
  double DominantShareOf(const Usage& total) const {
    return std::max(Ratio(this->slots.value(), total.slots.value()),
                    this->DominantResourceShareOf(total.resources));
  }

  /// As `DominantShareOf`, but without slots.
  double DominantResourceShareOf(const base::Resources& total) const {
    const double processors = Ratio(this->resources.processors.value(), total.processors.value());
    const double memory = Ratio(this->resources.memory.value(), total.memory.value());
    const double accelerators =
        Ratio(this->resources.accelerators.value(), total.accelerators.value());
    return std::max({processors, memory, accelerators});
  }

 private:
  static double Ratio(int64_t part, int64_t total) {
    return total > 0 ? static_cast<double>(part) / static_cast<double>(total) : 0;
  }
};

}  // namespace sapphirecrank::scheduling
