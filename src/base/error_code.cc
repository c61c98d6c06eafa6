#include "base/error_code.h"

namespace sapphirecrank::base {

std::string_view ErrorCodeName(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return "invalid_argument";
    case ErrorCode::kTooLarge:
      return "too_large";
    case ErrorCode::kUnauthenticated:
      return "unauthenticated";
    case ErrorCode::kPermissionDenied:
      return "permission_denied";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kExpired:
      return "expired";
    case ErrorCode::kCancelled:
      return "cancelled";
    case ErrorCode::kOverloaded:
      return "overloaded";
    case ErrorCode::kDeadlineExceeded:
      return "deadline_exceeded";
    case ErrorCode::kUnsatisfiable:
      return "unsatisfiable";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kShuttingDown:
      return "shutting_down";
    case ErrorCode::kTargetFailed:
      return "target_failed";
    case ErrorCode::kFenced:
      return "fenced";
    case ErrorCode::kCorrupted:
      return "corrupted";
    case ErrorCode::kStorageFailed:
      return "storage_failed";
    case ErrorCode::kInternal:
      return "internal";
  }
  return "internal";
}

}  // namespace sapphirecrank::base
