#pragma once

#include <optional>

#include "base/ids.h"
#include "base/time.h"
#include "runs/target_endpoint.h"

namespace sapphirecrank::runs {

/// Asks a target for the list of its runs and may extend its lease.
struct PollRequest {
  TargetEndpoint target;
  /// Distinguishes the polls of one target: only the response to the newest one is used.
  base::SequenceNumber sequence_number;
  /// All finished runs up to this sequence number are acknowledged; the target may forget them.
  base::SequenceNumber acknowledged_up_to;
  /// New end of the lease on the target's clock; without a value the lease stays as it is.
  std::optional<base::Duration> lease_end;
  /// How long the target may delay the response to wait for another run to finish.
  base::Duration maximum_wait{0};
};

}  // namespace sapphirecrank::runs
