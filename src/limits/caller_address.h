#pragma once

#include "base/strong_id.h"

namespace sapphirecrank::limits {

/// IP address of a caller, without the port.
using CallerAddress = base::StrongId<struct CallerAddressTag>;

}  // namespace sapphirecrank::limits
