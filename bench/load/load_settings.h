#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace sapphirecrank::load {

/// Settings of a load run.
struct LoadSettings {
  /// Entry hosts, each an IP address and port. Arrivals are sent to them in turn.
  std::vector<std::string> entry_hosts;
  std::string team = "load";
  /// Data centre that prefixes each submission id; empty for none.
  std::string data_centre;
  /// Prefix of each submission id, which keeps the ids distinct from those of earlier runs that the
  /// hosts still know.
  std::string run_name = "load";
  uint64_t seed = 1;
  base::Duration duration = std::chrono::seconds(10);
  /// Mean arrivals per second in the low half of each rate period.
  double base_rate_per_second = 50;
  /// Ratio of the rate in the high half of a rate period to that in the low half.
  double peak_rate_factor = 5;
  /// Length of a low half and a high half together.
  base::Duration rate_period = std::chrono::seconds(4);
  /// Mean run time of a task that is no straggler.
  base::Duration mean_run_time = std::chrono::milliseconds(50);
};

}  // namespace sapphirecrank::load
