#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"

namespace sapphirecrank::frontend {

/// Where an HTTP server listens, and its bounds.
struct HttpServerSettings {
  /// An IP number and a port; port 0 takes a free one.
  base::NetworkAddress listen_address;
  int thread_count = 4;
  base::ByteCount maximum_body_size{4LL * 1024 * 1024};
  base::ConnectionCount maximum_connections{4096};
  base::ConnectionCount maximum_connections_per_address{2048};
  /// Idle connections are closed after this long; those that wait for an answer are not.
  base::Duration idle_timeout = std::chrono::seconds(60);
};

}  // namespace sapphirecrank::frontend
