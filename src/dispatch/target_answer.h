#pragma once

#include <string>

#include "base/error.h"

namespace sapphirecrank::dispatch {

/// The end of one call of a target.
struct TargetAnswer {
  /// The target answered this very attempt with success.
  bool succeeded = false;
  base::Verdict verdict = base::Verdict::kMayHaveRun;
  std::string body;
  base::Error error;
};

}  // namespace sapphirecrank::dispatch
