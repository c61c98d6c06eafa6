#pragma once

#include <cstddef>

namespace sapphirecrank::limits {

/// Why a connection was closed or a request refused.
enum class IntakeReason {
  /// The bytes under way are at their limit.
  kBytes,
  /// The open connections are at their limit.
  kConnections,
  /// The body is larger than a body may be.
  kBodySize,
  /// No request arrived in time on an open connection.
  kIdle,
  /// The headers took too long.
  kSlowHeaders,
  /// The body stalled or arrived too slowly.
  kSlowBody,
  /// The response wasn't read in time.
  kSlowResponse,
};

constexpr size_t kIntakeReasonCount = 7;

}  // namespace sapphirecrank::limits
