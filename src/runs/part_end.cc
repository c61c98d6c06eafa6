#include "runs/part_end.h"

namespace sapphirecrank::runs {

std::string_view BatchResult::KindName(Kind kind) {
  switch (kind) {
    case Kind::kCompleted:
      return "completed";
    case Kind::kFailed:
      return "failed";
    case Kind::kNotRun:
      return "not_run";
    case Kind::kUnfinished:
      return "unfinished";
  }
  return "unfinished";
}

}  // namespace sapphirecrank::runs
