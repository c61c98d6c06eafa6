#pragma once

#include <memory>

#include "base/ids.h"
#include "base/result.h"
#include "configuration/settings.h"
#include "frontend/authenticator.h"
#include "observability/logger.h"

namespace sapphirecrank::entryhost {

/// One entry host: all packages wired together.
///
/// Thread safety: all methods are for one thread.
class EntryHost {
 public:
  /// Without credentials in `authenticator` everything is open to everyone.
  /// Preconditions: `logger` outlives this object; `secret` is the shared secret of all hosts.
  EntryHost(const configuration::Settings& settings, const std::string& secret,
            observability::Logger& logger,
            frontend::Authenticator authenticator = frontend::Authenticator({}, {}));

  /// Stops at once; call `Drain` first for a graceful shutdown.
  ~EntryHost();

  /// Listens and serves. Errors name the setting that can't be used. Precondition: called once.
  base::Result<void> Start();

  /// Refuses new work with "not run" and returns when all accepted work has been answered.
  void Drain();

  /// Returns the address that HTTP is served on. Precondition: started.
  base::NetworkAddress HttpAddress() const;

 private:
  class Impl;

  std::unique_ptr<Impl> impl;
};

}  // namespace sapphirecrank::entryhost
