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
  /// The submission id is too old to be accepted as new.
  kExpired,
  kCancelled,
  kOverloaded,
  kDeadlineExceeded,
  /// No known target could ever hold the task.
  kUnsatisfiable,
  kUnavailable,
  kShuttingDown,
  kTargetFailed,
  /// This host doesn't own the job, key or target, or isn't in the current view.
  kFenced,
  /// Stored data is missing or can't be decoded.
  kCorrupted,
  /// An operation on the disk failed.
  kStorageFailed,
  kInternal,
};

/// Returns the code's name in responses, in snake_case.
std::string_view ErrorCodeName(ErrorCode code);

}  // namespace sapphirecrank::base
