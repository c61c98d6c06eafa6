#pragma once

#include "base/ids.h"

namespace sapphirecrank::runs {

/// Stops all parts that a gateway has placed for a job; no end is reported.
struct BatchCancel {
  base::SubmissionId job;
};

}  // namespace sapphirecrank::runs
