#pragma once

#include "base/ids.h"
#include "scheduling/load_summary.h"

namespace sapphirecrank::dispatch {

/// Load of one kind of targets at one entry host, as far as known here.
struct HostLoad {
  base::HostId host;
  scheduling::LoadSummary load;
};

}  // namespace sapphirecrank::dispatch
