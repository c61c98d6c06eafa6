#include "base/work_class.h"

#include <string>

namespace sapphirecrank::base {

std::string_view WorkClassName(WorkClass work_class) {
  switch (work_class) {
    case WorkClass::kUrgent:
      return "urgent";
    case WorkClass::kOrdinary:
      return "ordinary";
    case WorkClass::kBulk:
      return "bulk";
  }
  return "ordinary";
}

Result<WorkClass> ParseWorkClass(std::string_view name) {
  for (WorkClass work_class : {WorkClass::kUrgent, WorkClass::kOrdinary, WorkClass::kBulk}) {
    if (name == WorkClassName(work_class)) {
      return work_class;
    }
  }
  return Fail(ErrorCode::kInvalidArgument,
              "unknown class '" + std::string(name) + "'; use urgent, ordinary or bulk", "class");
}

}  // namespace sapphirecrank::base
