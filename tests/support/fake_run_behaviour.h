#pragma once

#include <string>

#include "base/time.h"

namespace sapphirecrank::testing {

/// How a fake target runs one task and responds to its start request.
struct FakeRunBehaviour {
  base::Duration run_time{0};
  /// Status and body of the response.
  int status = 200;
  std::string body = "null";
  /// Attempt id to return in the response instead of the one in the request; if empty, the
  /// response has the right one.
  std::string wrong_attempt_id;
  /// Sends no response until the target is destroyed.
  bool never_responds = false;
};

/// Returns the behaviour for a payload `{"sleep_ms": n, "echo": any}`: run for `sleep_ms`
/// milliseconds and respond with the value of `echo`. Thread safety: pure.
FakeRunBehaviour EchoBehaviour(const std::string& payload);

}  // namespace sapphirecrank::testing
