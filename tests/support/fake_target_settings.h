#pragma once

#include <functional>
#include <string>
#include <vector>

#include "targets/target_announcement.h"
#include "tests/support/fake_run_behaviour.h"

namespace sapphirecrank::testing {

/// Announcement, entry hosts and behaviour of a `FakeTarget`.
struct FakeTargetSettings {
  /// Announcement to send; the target sets the address that it listens on.
  targets::TargetAnnouncement announcement;
  /// Addresses of the entry hosts to announce to, in turn; without any, nothing is announced.
  std::vector<std::string> entry_hosts;
  /// Returns the behaviour for one start request from its attempt id and payload. Must be set; may
  /// be called from several threads.
  std::function<FakeRunBehaviour(const std::string&, const std::string&)> choose_behaviour;
};

}  // namespace sapphirecrank::testing
