#pragma once

#include <array>
#include <cstdint>

#include "base/units.h"
#include "limits/intake_reason.h"

namespace sapphirecrank::limits {

/// What is in use of an intake budget, and what it has closed and refused.
struct IntakeUsage {
  base::ByteCount bytes;
  base::ByteCount maximum_bytes;
  base::ConnectionCount connections;
  base::ConnectionCount maximum_connections;
  /// Connections that the budget has closed, and requests and connections that it has refused, by
  /// `IntakeReason`.
  std::array<uint64_t, kIntakeReasonCount> closed{};
  std::array<uint64_t, kIntakeReasonCount> refused{};
};

}  // namespace sapphirecrank::limits
