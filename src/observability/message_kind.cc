#include "observability/message_kind.h"

namespace sapphirecrank::observability {

std::string_view MessageKindName(MessageKind kind) {
  switch (kind) {
    case MessageKind::kAssignment:
      return "assignment";
    case MessageKind::kTaskResults:
      return "results";
    case MessageKind::kCancellation:
      return "cancellation";
    case MessageKind::kAnnouncement:
      return "announcement";
    case MessageKind::kTargetCall:
      return "target_call";
  }
  return "assignment";
}

}  // namespace sapphirecrank::observability
