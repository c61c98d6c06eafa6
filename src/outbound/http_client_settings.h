#pragma once

#include <string>

#include "base/time.h"
#include "base/units.h"

namespace sapphirecrank::outbound {

/// Bounds of outgoing HTTP calls.
struct HttpClientSettings {
  base::ConnectionCount maximum_connections_per_address{64};
  base::Duration connect_timeout = std::chrono::seconds(1);
  /// Larger answers end the call with an error.
  base::ByteCount maximum_response_size{4LL * 1024 * 1024};
};

}  // namespace sapphirecrank::outbound
