#pragma once

#include "base/ids.h"

namespace sapphirecrank::jobs {

/// The owner and the backup of a new job: the first two hosts in its id's order of preference.
struct ReplicaHosts {
  base::HostId owner;
  /// Empty if there is only one host.
  base::HostId backup;
};

}  // namespace sapphirecrank::jobs
