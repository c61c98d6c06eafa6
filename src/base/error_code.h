#pragma once

#include <string_view>

namespace sapphirecrank::base {

/// Kinds of errors, each with a fixed name in answers.
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

/// Returns the code's name in answers, in snake_case.
std::string_view ErrorCodeName(ErrorCode code);

}  // namespace sapphirecrank::base
