#pragma once

#include "base/ids.h"

namespace sapphirecrank::protocol {

/// Answer to `Hello` from the accepting side.
struct HelloAck {
  base::HostId host;
  base::Incarnation incarnation;
};

}  // namespace sapphirecrank::protocol
