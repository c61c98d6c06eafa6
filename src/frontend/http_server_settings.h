#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"

namespace sapphirecrank::frontend {

/// Listen address and limits of an HTTP server.
struct HttpServerSettings {
  /// IPv4 address and port; port 0 selects a free port.
  base::NetworkAddress listen_address;
  int thread_count = 4;
  base::ByteCount maximum_body_size{4LL * 1024 * 1024};
  base::ConnectionCount maximum_connections{4096};
  base::ConnectionCount maximum_connections_per_address{2048};
  /// Connections are closed after they have been idle for this long, but not while they wait for a
  /// response.
  base::Duration idle_timeout = std::chrono::seconds(60);
};

}  // namespace sapphirecrank::frontend
