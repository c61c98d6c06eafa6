#pragma once

#include <string>

#include "base/time.h"
#include "base/units.h"

namespace sapphirecrank::outbound {

/// Limits of outgoing HTTP requests.
struct HttpClientSettings {
  base::ConnectionCount maximum_connections_per_address{64};
  base::Duration connect_timeout = std::chrono::seconds(1);
  /// A larger response ends the request with the error `kTooLarge`.
  base::ByteCount maximum_response_size{4LL * 1024 * 1024};
};

}  // namespace sapphirecrank::outbound
