#pragma once

#include <string>

#include "base/ids.h"
#include "base/time.h"

namespace sapphirecrank::dispatch {

/// A call to a target that starts one task.
struct TargetCall {
  base::NetworkAddress address;
  base::AttemptId attempt;
  std::string payload;
  /// Time left until the task's deadline, at which the call times out.
  base::Duration timeout{0};
};

}  // namespace sapphirecrank::dispatch
