#include "runs/target_call_status.h"

namespace sapphirecrank::runs {

std::string_view TargetCallStatusName(TargetCallStatus status) {
  switch (status) {
    case TargetCallStatus::kAccepted:
      return "accepted";
    case TargetCallStatus::kFenced:
      return "fenced";
    case TargetCallStatus::kStaleRunNumber:
      return "outdated";
    case TargetCallStatus::kLeaseExpired:
      return "late";
    case TargetCallStatus::kInsufficientCapacity:
      return "no_room";
    case TargetCallStatus::kInvalidRequest:
      return "invalid";
    case TargetCallStatus::kUnhealthy:
      return "unhealthy";
    case TargetCallStatus::kIncarnationMismatch:
      return "other_life";
    case TargetCallStatus::kNotSent:
      return "not_sent";
    case TargetCallStatus::kNoResponse:
      return "unanswered";
  }
  return "unanswered";
}

}  // namespace sapphirecrank::runs
