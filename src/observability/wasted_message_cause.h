#pragma once

#include <string_view>

namespace sapphirecrank::observability {

/// Why a message had no effect.
enum class WastedMessageCause {
  /// A result for a placement that is unknown, replaced or already finished.
  kLateResult,
  /// An assignment that the other host returned with "not run".
  kRefusedAssignment,
  /// A target's response that carried the id of another attempt.
  kResponseForOtherAttempt,
  /// An announcement that reached a host that doesn't own the target.
  kMisdirectedAnnouncement,
};

constexpr int kWastedMessageCauseCount = 4;

/// Returns the cause's name in metrics.
std::string_view WastedMessageCauseName(WastedMessageCause cause);

}  // namespace sapphirecrank::observability
