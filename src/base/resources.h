#pragma once

#include "base/units.h"

namespace sapphirecrank::base {

/// Processors, memory and accelerators that a task requires or a target has.
struct Resources {
  MilliCores processors;
  ByteCount memory;
  AcceleratorCount accelerators;

  /// Tells whether `required` fits into this amount. Thread safety: pure.
  bool CanFit(const Resources& required) const {
    return required.processors <= this->processors && required.memory <= this->memory &&
           required.accelerators <= this->accelerators;
  }

  Resources& operator+=(const Resources& other) {
    this->processors += other.processors;
    this->memory += other.memory;
    this->accelerators += other.accelerators;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    this->processors -= other.processors;
    this->memory -= other.memory;
    this->accelerators -= other.accelerators;
    return *this;
  }
  friend bool operator==(const Resources& a, const Resources& b) {
    return a.processors == b.processors && a.memory == b.memory && a.accelerators == b.accelerators;
  }
};

}  // namespace sapphirecrank::base
