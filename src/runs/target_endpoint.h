#pragma once

#include "base/ids.h"

namespace sapphirecrank::runs {

/// Whom an order is for, and on whose authority.
struct TargetEndpoint {
  base::TargetId id;
  base::NetworkAddress address;
  base::FencingToken fencing_token;
};

}  // namespace sapphirecrank::runs
