#pragma once

#include <string>

#include "base/ids.h"
#include "base/resources.h"
#include "base/time.h"

namespace sapphirecrank::frontend {

/// One task as the caller submitted it.
struct SubmittedTask {
  base::TaskKind kind;
  base::Resources declared_resources;
  /// Zero if the caller declared none.
  base::Duration declared_run_time{0};
  bool idempotent = false;
  /// JSON text that is passed to the target.
  std::string payload;
};

}  // namespace sapphirecrank::frontend
