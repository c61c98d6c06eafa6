#pragma once

#include "base/ids.h"
#include "scheduling/load_summary.h"

namespace sapphirecrank::dispatch {

/// Last known load of one kind of targets at one entry host.
struct HostLoad {
  base::HostId host;
  scheduling::LoadSummary load;
};

}  // namespace sapphirecrank::dispatch
