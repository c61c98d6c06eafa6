#include "observability/wasted_message_cause.h"

namespace sapphirecrank::observability {

std::string_view WastedMessageCauseName(WastedMessageCause cause) {
  switch (cause) {
    case WastedMessageCause::kLateResult:
      return "late_result";
    case WastedMessageCause::kRefusedAssignment:
      return "refused_assignment";
    case WastedMessageCause::kResponseForOtherAttempt:
      return "crossed_answer";
    case WastedMessageCause::kMisdirectedAnnouncement:
      return "misdirected_announcement";
  }
  return "late_result";
}

}  // namespace sapphirecrank::observability
