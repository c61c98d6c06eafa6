#pragma once

#include "runs/run_key.h"

namespace sapphirecrank::runs {

/// A run that its target lists as present.
struct ActiveRun {
  RunKey key;
  /// Share of the work that is done, 0 to 100.
  int progress_percent = 0;
};

}  // namespace sapphirecrank::runs
