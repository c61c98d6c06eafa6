#include "runs/order_outcome.h"

namespace sapphirecrank::runs {

std::string_view TargetCallStatusName(TargetCallStatus outcome) {
  switch (outcome) {
    case TargetCallStatus::kAccepted:
      return "accepted";
    case TargetCallStatus::kFenced:
      return "fenced";
    case TargetCallStatus::kOutdated:
      return "outdated";
    case TargetCallStatus::kLate:
      return "late";
    case TargetCallStatus::kNoRoom:
      return "no_room";
    case TargetCallStatus::kInvalid:
      return "invalid";
    case TargetCallStatus::kUnhealthy:
      return "unhealthy";
    case TargetCallStatus::kOtherLife:
      return "other_life";
    case TargetCallStatus::kNotSent:
      return "not_sent";
    case TargetCallStatus::kUnanswered:
      return "unanswered";
  }
  return "unanswered";
}

}  // namespace sapphirecrank::runs
