#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace sapphirecrank::load {

/// What a load run sends.
struct LoadSettings {
  /// Entry hosts, each an IP number and port; arrivals go to them in turn.
  std::vector<std::string> entry_hosts;
  std::string team = "load";
  /// Data centre that begins each submission id; empty for none.
  std::string data_centre;
  /// Begins each submission id, to keep runs apart on hosts that still know an earlier one.
  std::string run_name = "load";
  uint64_t seed = 1;
  base::Duration duration = std::chrono::seconds(10);
  /// Mean arrivals a second in the low half of each swing.
  double base_rate_per_second = 50;
  /// The rate in the high half of a swing over that in the low half.
  double peak_rate_factor = 5;
  base::Duration rate_period = std::chrono::seconds(4);
  /// Mean run time of a short task.
  base::Duration mean_run_time = std::chrono::milliseconds(50);
};

}  // namespace sapphirecrank::load
