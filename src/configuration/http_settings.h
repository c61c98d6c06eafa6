#pragma once

#include "base/time.h"
#include "base/units.h"

namespace sapphirecrank::configuration {

/// Limits of the HTTP server.
struct HttpSettings {
  int thread_count = 4;
  base::ByteCount maximum_body_size{4LL * 1024 * 1024};
  base::ConnectionCount maximum_connections{4096};
  base::ConnectionCount maximum_connections_per_address{2048};
  /// Time after which an idle connection is closed. A whole number of seconds.
  base::Duration idle_timeout = std::chrono::seconds(60);
};

}  // namespace sapphirecrank::configuration
