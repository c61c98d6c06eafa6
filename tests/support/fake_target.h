#pragma once

#include <memory>
#include <string>
#include <vector>

#include "tests/support/fake_target_settings.h"

namespace sapphirecrank::testing {

/// Stand-in for a target: serves `POST /run` over HTTP and announces itself.
///
/// Thread safety: all methods may be called from any thread.
class FakeTarget {
 public:
  /// Listens on a free loopback port and announces itself every 500 ms if there are entry hosts.
  explicit FakeTarget(FakeTargetSettings settings);
  ~FakeTarget();

  /// Returns the address that it serves on.
  std::string Address() const;

  /// Returns the payloads of all starts so far, in order.
  std::vector<std::string> StartedPayloads() const;

  /// Returns the most tasks that ran at the same time.
  int MaximumConcurrentRuns() const;

  /// Announces that it is leaving from now on.
  void AnnounceLeaving();

 private:
  class Impl;

  std::unique_ptr<Impl> impl;
};

}  // namespace sapphirecrank::testing
