#pragma once

#include "base/ids.h"

namespace sapphirecrank::jobs {

/// The first two hosts in the order of preference of a submission id.
struct ReplicaHosts {
  base::HostId owner;
  /// Empty if the view has only one host.
  base::HostId backup;
};

}  // namespace sapphirecrank::jobs
