#pragma once

#include <memory>
#include <string>
#include <vector>

#include "tests/support/fake_target_settings.h"

namespace sapphirecrank::testing {

/// Fake target: serves `POST /run` over HTTP and announces itself to entry hosts.
///
/// Thread safety: all methods may be called from any thread.
class FakeTarget {
 public:
  /// Listens on a free loopback port. Announces itself every 500 ms if `settings` names entry
  /// hosts.
  explicit FakeTarget(FakeTargetSettings settings);
  ~FakeTarget();

  /// Returns the address that it listens on.
  std::string Address() const;

  /// Returns the payloads of all start requests so far, in order of arrival.
  std::vector<std::string> StartedPayloads() const;

  /// Returns the maximum number of tasks that ran at the same time.
  int MaximumConcurrentRuns() const;

  /// Sets `leaving` in all later announcements and wakes the announcer.
  void AnnounceLeaving();

 private:
  class Impl;

  std::unique_ptr<Impl> impl;
};

}  // namespace sapphirecrank::testing
