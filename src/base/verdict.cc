#include "base/verdict.h"

namespace sapphirecrank::base {

Verdict CombineParts(Verdict a, Verdict b) { return a == b ? a : Verdict::kMayHaveRun; }

Verdict Refine(Verdict known, Verdict observed) {
  return known == Verdict::kMayHaveRun ? observed : known;
}

bool IsSafeToRetry(Verdict verdict, bool idempotent) {
  return verdict == Verdict::kNotRun || idempotent;
}

std::string_view VerdictName(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return "not run";
    case Verdict::kMayHaveRun:
      return "may have run";
    case Verdict::kRan:
      return "ran";
  }
  return "may have run";
}

}  // namespace sapphirecrank::base
