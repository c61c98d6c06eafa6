#include "runs/batch_result.h"

namespace sapphirecrank::runs {

std::string_view BatchResult::OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kCompleted:
      return "completed";
    case Outcome::kFailed:
      return "failed";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kUnfinished:
      return "unfinished";
  }
  return "unfinished";
}

}  // namespace sapphirecrank::runs
