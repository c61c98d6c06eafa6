#pragma once

#include "base/ids.h"

namespace sapphirecrank::gateway {

/// The allocator that an `AllocatorRequest` has got.
struct AllocatorChoice {
  base::HostId allocator;
  /// By its last report, all tasks of the request can start there at once.
  bool has_free_capacity = false;
};

}  // namespace sapphirecrank::gateway
