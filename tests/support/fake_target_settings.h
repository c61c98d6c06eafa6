#pragma once

#include <functional>
#include <string>
#include <vector>

#include "targets/target_announcement.h"
#include "tests/support/fake_run_behaviour.h"

namespace sapphirecrank::testing {

/// How a fake target behaves.
struct FakeTargetSettings {
  /// What it announces; the address is filled in when it listens.
  targets::TargetAnnouncement announcement;
  /// Entry hosts to announce to, in turn; each an IP number and port. May be empty.
  std::vector<std::string> entry_hosts;
  /// Chooses what happens to one start, from the attempt id and the payload.
  std::function<FakeRunBehaviour(const std::string&, const std::string&)> choose_behaviour;
};

}  // namespace sapphirecrank::testing
