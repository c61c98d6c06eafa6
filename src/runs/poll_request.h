#pragma once

#include <optional>

#include "base/ids.h"
#include "base/time.h"
#include "runs/target_endpoint.h"

namespace sapphirecrank::runs {

/// Asks a target for its runs and extends its lease.
struct PollRequest {
  TargetEndpoint target;
  /// Tells the looks at one target apart: only the newest one's answer counts.
  base::SequenceNumber sequence_number;
  /// Ends up to this number have been taken note of.
  base::SequenceNumber acknowledged_end;
  /// New end of the lease on the target's clock; none to leave it as it is.
  std::optional<base::Duration> lease_end;
  /// How long the target may hold the answer back for a further end.
  base::Duration maximum_wait{0};
};

}  // namespace sapphirecrank::runs
