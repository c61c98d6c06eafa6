#pragma once

#include <optional>
#include <vector>

#include "base/ids.h"

namespace sapphirecrank::stored {

/// The replicated record of a task of a stored job.
struct StoredTask {
  /// The run that succeeded; unset until then.
  std::optional<base::RunNumber> successful_run;
  /// Failed runs; each counts as one attempt.
  std::vector<base::RunNumber> failed_runs;
  /// Runs with a lower number are superseded: the task may have been started again after they were
  /// given up, so their ends don't count. 0 if no run has been given up.
  base::RunNumber lowest_valid_run;
};

}  // namespace sapphirecrank::stored
