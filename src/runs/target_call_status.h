#pragma once

#include <string_view>

namespace sapphirecrank::runs {

/// How a target answered a start or stop.
enum class TargetCallStatus {
  kAccepted,
  /// An owner with a higher token has the target.
  kFenced,
  /// A run with this or a higher number has been stopped or has ended there.
  kStaleRunNumber,
  /// The order came after the end of its lease.
  kLeaseExpired,
  kInsufficientCapacity,
  kInvalidRequest,
  /// The target is unhealthy and has done nothing.
  kUnhealthy,
  /// The address belongs to another life of the target.
  kIncarnationMismatch,
  /// Nothing was sent.
  kNotSent,
  /// No answer came: the order may have been carried out or may be later.
  kNoResponse,
};

/// Returns the outcome's name in logs. Thread safety: pure.
std::string_view TargetCallStatusName(TargetCallStatus outcome);

}  // namespace sapphirecrank::runs
