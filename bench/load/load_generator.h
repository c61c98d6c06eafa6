#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/priority_class.h"
#include "bench/load/arrival.h"
#include "bench/load/class_results.h"
#include "bench/load/load_settings.h"

namespace sapphirecrank::load {

/// Open-loop load generator: sends each arrival at its intended time, whether or not earlier ones
/// were answered.
///
/// Response times are measured from the intended time, so that they include delays of the generator
/// itself and of the entry host. Thread safety: none.
class LoadGenerator {
 public:
  /// `on_progress` is called about every two seconds with the numbers of arrivals that were sent
  /// and that still await their response. Precondition: `settings` names at least one entry host.
  LoadGenerator(LoadSettings settings, std::function<void(size_t sent, size_t open)> on_progress);
  ~LoadGenerator();

  /// Sends all arrivals and waits until each was answered, failed or timed out. Preconditions: the
  /// arrivals are in the order of their times, and this is the only call of this method.
  void Run(const std::vector<Arrival>& arrivals);

  /// Returns the results of a priority class.
  ClassResults& Results(base::PriorityClass priority_class);

  /// Returns the 99.9th percentile of the delay between the intended time and the actual sending.
  base::Duration SendDelayP999();

 private:
  class Impl;

  std::unique_ptr<Impl> impl;
};

}  // namespace sapphirecrank::load
