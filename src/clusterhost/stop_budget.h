#pragma once

#include <algorithm>

#include "base/time.h"

namespace sapphirecrank::clusterhost {

/// How a process uses the time that the platform allows for a graceful stop.
///
/// Thread safety: pure.
struct StopBudget {
  /// Time from the signal until the platform kills the process.
  base::Duration stop_time = std::chrono::seconds(6);

  /// Returns how long a gateway takes new connections after the signal. The platform takes it out
  /// of rotation after two failed readiness checks, which it makes once a second.
  base::Duration RotationDelay() const {
    constexpr base::Duration kTwoReadinessChecks = std::chrono::milliseconds(2300);
    return std::min(kTwoReadinessChecks, this->GatewayDrainEnd() / 2);
  }

  /// Returns how long a gateway waits for its jobs after the rotation delay.
  base::Duration GatewayDrainTimeout() const {
    return this->GatewayDrainEnd() - this->RotationDelay();
  }

  /// Returns how long an allocator waits for its task batches. The rest is for the transfer of its
  /// leadership and vote and for its last messages.
  base::Duration AllocatorDrainLimit() const {
    constexpr base::Duration kHandoverTime = std::chrono::seconds(2);
    return std::max(base::Duration(0), this->stop_time - kHandoverTime);
  }

 private:
  /// Returns the time after the signal at which a gateway ends its remaining jobs. The platform
  /// expects the requests that targets are working on to be finished within five sixths of the stop
  /// time.
  base::Duration GatewayDrainEnd() const {
    constexpr base::Duration kResponseTime = std::chrono::milliseconds(150);
    constexpr base::Duration kExitTime = std::chrono::milliseconds(500);
    return std::max(base::Duration(0),
                    std::min(this->stop_time * 5 / 6 + kResponseTime, this->stop_time - kExitTime));
  }
};

}  // namespace sapphirecrank::clusterhost
