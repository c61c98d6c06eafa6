#include "base/execution_verdict.h"

namespace sapphirecrank::base {

ExecutionVerdict CombineVerdicts(ExecutionVerdict a, ExecutionVerdict b) {
  return a == b ? a : ExecutionVerdict::kMayHaveRun;
}

ExecutionVerdict RefineVerdict(ExecutionVerdict known, ExecutionVerdict observed) {
  return known == ExecutionVerdict::kMayHaveRun ? observed : known;
}

bool IsSafeToRetry(ExecutionVerdict verdict, bool idempotent) {
  return verdict == ExecutionVerdict::kNotRun || idempotent;
}

std::string_view ExecutionVerdictName(ExecutionVerdict verdict) {
  switch (verdict) {
    case ExecutionVerdict::kNotRun:
      return "not run";
    case ExecutionVerdict::kMayHaveRun:
      return "may have run";
    case ExecutionVerdict::kRan:
      return "ran";
  }
  return "may have run";
}

}  // namespace sapphirecrank::base
