#pragma once

#include <functional>
#include <memory>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"

namespace sapphirecrank::frontend {

class IntakeGuard;

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
  /// Keeps the servers of a process within common limits. Without one, the server has limits of its
  /// own: the values above and the defaults of `limits::IntakeSettings`.
  std::shared_ptr<IntakeGuard> intake;
  /// If set, called at the begin of each request for the limit of its body, which may change;
  /// `maximum_body_size` is then the highest limit that is accepted. Must not wait.
  std::function<base::ByteCount()> current_maximum_body_size;
  /// The handler keeps a decoded form of the body until it responds. It is charged as much as the
  /// parsed document, which is charged in any case until the handler returns.
  bool keeps_decoded_bodies = false;
};

}  // namespace sapphirecrank::frontend
