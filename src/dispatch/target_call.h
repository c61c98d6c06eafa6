#pragma once

#include <string>

#include "base/ids.h"
#include "base/time.h"

namespace sapphirecrank::dispatch {

/// One call of a target to start one task.
struct TargetCall {
  base::NetworkAddress address;
  base::AttemptId attempt;
  std::string payload;
  /// The call ends with a timeout after this long.
  base::Duration timeout{0};
};

}  // namespace sapphirecrank::dispatch
