#pragma once

#include <memory>

#include "base/ids.h"
#include "base/result.h"
#include "configuration/settings.h"
#include "frontend/authenticator.h"
#include "observability/logger.h"

namespace sapphirecrank::entryhost {

/// One entry host: connects the components of all packages and runs them.
///
/// Thread safety: none; all methods must be called from one thread.
class EntryHost {
 public:
  /// `shared_secret` is the secret that all entry hosts share. Without credentials in
  /// `authenticator` every request is allowed. Precondition: `logger` outlives this object.
  EntryHost(const configuration::Settings& settings, const std::string& shared_secret,
            observability::Logger& logger,
            frontend::Authenticator authenticator = frontend::Authenticator({}, {}));

  /// Stops at once and fails all work in flight; call `Drain` first for a graceful shutdown.
  ~EntryHost();

  /// Opens the stored state, starts to listen and serves requests. Errors: those of
  /// `ViewConsensus::OpenStorage`, `peers::PeerNetwork::Start` and `frontend::HttpServer::Start`.
  /// Precondition: called once.
  base::Result<void> Start();

  /// Rejects new work, with "not run" unless another host has forwarded it, and blocks until all
  /// accepted work has been answered. Then stops the HTTP server and waits at most 2 s for peers to
  /// acknowledge the last messages.
  void Drain();

  /// Returns the address that the HTTP API listens on. Precondition: started.
  base::NetworkAddress HttpAddress() const;

 private:
  class Impl;

  std::unique_ptr<Impl> impl;
};

}  // namespace sapphirecrank::entryhost
