#include "base/target_kind.h"

#include <string>

namespace sapphirecrank::base {

std::string_view TargetKindName(TargetKind kind) {
  return kind == TargetKind::kRunner ? "runner" : "worker";
}

Result<TargetKind> ParseTargetKind(std::string_view name) {
  for (TargetKind kind : {TargetKind::kRunner, TargetKind::kWorker}) {
    if (name == TargetKindName(kind)) {
      return kind;
    }
  }
  return MakeErrorResult(ErrorCode::kInvalidArgument,
                         "unknown kind '" + std::string(name) + "'; use runner or worker", "kind");
}

}  // namespace sapphirecrank::base
