#pragma once

#include "base/ids.h"

namespace sapphirecrank::runs {

/// The target that a request is for, and the fencing token of the owner that sends it.
struct TargetEndpoint {
  base::TargetId id;
  base::NetworkAddress address;
  base::FencingToken fencing_token;
};

}  // namespace sapphirecrank::runs
