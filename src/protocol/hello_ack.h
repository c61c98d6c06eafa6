#pragma once

#include "base/ids.h"

namespace sapphirecrank::protocol {

/// Response to `Hello`, sent by the host that accepts the connection.
struct HelloAck {
  base::HostId host;
  base::Incarnation incarnation;
};

}  // namespace sapphirecrank::protocol
