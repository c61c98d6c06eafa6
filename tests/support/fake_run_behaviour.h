#pragma once

#include <string>

#include "base/time.h"

namespace sapphirecrank::testing {

/// What a fake target does with one start.
struct FakeRunBehaviour {
  base::Duration run_time{0};
  int status = 200;
  std::string body = "null";
  /// Attempt id to answer with instead of the real one; empty for the real one.
  std::string wrong_attempt_id;
  /// Never answers.
  bool never_responds = false;
};

/// Reads `{"sleep_ms": n, "echo": any}` from a payload and answers with the echo.
FakeRunBehaviour EchoBehaviour(const std::string& payload);

}  // namespace sapphirecrank::testing
