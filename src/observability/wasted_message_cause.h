#pragma once

#include <string_view>

namespace sapphirecrank::observability {

/// Why a message brought nothing.
enum class WastedMessageCause {
  /// A result for a placement that is unknown, replaced or already ended.
  kLateResult,
  /// An assignment that the other host gave back with "not run".
  kRefusedAssignment,
  /// A target's answer that carried the id of another attempt.
  kResponseForOtherAttempt,
  /// An announcement that arrived at a host which doesn't own the target.
  kMisdirectedAnnouncement,
};

constexpr int kWastedMessageCauseCount = 4;

/// Returns the cause's name in metrics.
std::string_view WastedMessageCauseName(WastedMessageCause cause);

}  // namespace sapphirecrank::observability
