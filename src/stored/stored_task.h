#pragma once

#include <optional>
#include <vector>

#include "base/ids.h"

namespace sapphirecrank::stored {

/// What the group has agreed on about a task of a stored job.
struct StoredTask {
  /// The run that did the task; unset before.
  std::optional<base::RunNumber> successful_run;
  /// Failed runs, which count as attempts.
  std::vector<base::RunNumber> failed_runs;
};

}  // namespace sapphirecrank::stored
