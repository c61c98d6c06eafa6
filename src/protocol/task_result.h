#pragma once

#include <string>

#include "base/error.h"
#include "base/ids.h"
#include "base/task_key.h"
#include "base/verdict.h"

namespace sapphirecrank::protocol {

/// How one placement of a task ended.
struct TaskResult {
  base::TaskKey key;
  base::PlacementNumber placement;
  bool succeeded = false;
  base::Verdict verdict = base::Verdict::kMayHaveRun;
  std::string body;
  base::Error error;
};

}  // namespace sapphirecrank::protocol
