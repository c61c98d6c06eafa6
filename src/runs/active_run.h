#pragma once

#include "runs/run_key.h"

namespace sapphirecrank::runs {

/// A run that its target lists as active.
struct ActiveRun {
  RunKey key;
  /// Completed share of the work in percent, 0 to 100.
  int progress_percent = 0;
};

}  // namespace sapphirecrank::runs
