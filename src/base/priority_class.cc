#include "base/priority_class.h"

#include <string>

namespace sapphirecrank::base {

std::string_view PriorityClassName(PriorityClass priority_class) {
  switch (priority_class) {
    case PriorityClass::kUrgent:
      return "urgent";
    case PriorityClass::kOrdinary:
      return "ordinary";
    case PriorityClass::kBulk:
      return "bulk";
  }
  return "ordinary";
}

Result<PriorityClass> ParsePriorityClass(std::string_view name) {
  for (PriorityClass priority_class :
       {PriorityClass::kUrgent, PriorityClass::kOrdinary, PriorityClass::kBulk}) {
    if (name == PriorityClassName(priority_class)) {
      return priority_class;
    }
  }
  return MakeErrorResult(ErrorCode::kInvalidArgument,
                         "unknown class '" + std::string(name) + "'; use urgent, ordinary or bulk",
                         "class");
}

}  // namespace sapphirecrank::base
