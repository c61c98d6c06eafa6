#pragma once

#include <string_view>

namespace sapphirecrank::runs {

/// Result of a start, stop or poll request to a target.
enum class TargetCallStatus {
  kAccepted,
  /// The target has seen a higher fencing token, so another owner may have it.
  kFenced,
  /// A run of the task with this or a higher number has been stopped or has ended on the target.
  kStaleRunNumber,
  /// The request arrived after the end of the lease that it carried.
  kLeaseExpired,
  kInsufficientCapacity,
  kInvalidRequest,
  /// The target is unhealthy and has not carried out the request.
  kUnhealthy,
  /// Another incarnation of the target has the address.
  kIncarnationMismatch,
  /// The request was certainly not sent.
  kNotSent,
  /// No response came. The request may have been carried out, or may be later.
  kNoResponse,
};

/// Returns the name of `status` in logs. Thread safety: pure.
std::string_view TargetCallStatusName(TargetCallStatus status);

}  // namespace sapphirecrank::runs
