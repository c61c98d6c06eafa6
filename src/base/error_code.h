#pragma once

#include <string_view>

namespace sapphirecrank::base {

/// Error codes. Each has a fixed name that is used in responses.
enum class ErrorCode {
  kInvalidArgument,
  kTooLarge,
  kUnauthenticated,
  kPermissionDenied,
  kNotFound,
  kConflict,
  kExpired,
  kCancelled,
  kOverloaded,
  kDeadlineExceeded,
  kUnsatisfiable,
  kUnavailable,
  kShuttingDown,
  kTargetFailed,
  kFenced,
  kCorrupted,
  kStorageFailed,
  kInternal,
};

/// Returns the code's name in responses, in snake_case.
std::string_view ErrorCodeName(ErrorCode code);

}  // namespace sapphirecrank::base
