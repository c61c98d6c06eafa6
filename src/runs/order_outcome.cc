#include "runs/order_outcome.h"

namespace sapphirecrank::runs {

std::string_view OrderOutcomeName(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kAccepted:
      return "accepted";
    case OrderOutcome::kFenced:
      return "fenced";
    case OrderOutcome::kOutdated:
      return "outdated";
    case OrderOutcome::kLate:
      return "late";
    case OrderOutcome::kNoRoom:
      return "no_room";
    case OrderOutcome::kInvalid:
      return "invalid";
    case OrderOutcome::kUnhealthy:
      return "unhealthy";
    case OrderOutcome::kOtherLife:
      return "other_life";
    case OrderOutcome::kNotSent:
      return "not_sent";
    case OrderOutcome::kUnanswered:
      return "unanswered";
  }
  return "unanswered";
}

}  // namespace sapphirecrank::runs
