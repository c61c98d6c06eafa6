#pragma once

#include "base/time.h"

namespace sapphirecrank::gateway {

/// A report doesn't include tasks that were placed within this time before it arrived: they reached
/// the allocator after it was sent.
constexpr base::Duration kRoundTripTime = std::chrono::milliseconds(4);

}  // namespace sapphirecrank::gateway
