#include "observability/wasted_message.h"

namespace sapphirecrank::observability {

std::string_view WastedMessageName(WastedMessage cause) {
  switch (cause) {
    case WastedMessage::kLateResult:
      return "late_result";
    case WastedMessage::kRefusedAssignment:
      return "refused_assignment";
    case WastedMessage::kCrossedAnswer:
      return "crossed_answer";
    case WastedMessage::kMisdirectedAnnouncement:
      return "misdirected_announcement";
  }
  return "late_result";
}

}  // namespace sapphirecrank::observability
