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

/// Sends arrivals at their intended times, whether earlier ones were answered or not.
///
/// Response times count from the intended time, so that a delay of the sender itself, or of the
/// entry host, is not left out of the figures. Thread safety: one object for one thread.
class LoadGenerator {
 public:
  /// `on_progress` is told about every two seconds how many arrivals were sent and are open.
  LoadGenerator(LoadSettings settings, std::function<void(size_t sent, size_t open)> on_progress);
  ~LoadGenerator();

  /// Sends all arrivals and waits for their answers.
  void Run(const std::vector<Arrival>& arrivals);

  /// Returns the results of a class.
  ClassResults& Results(base::PriorityClass work_class);

  /// Returns how much later than intended the last tenth of a percent of the arrivals was sent.
  base::Duration SendDelayP999();

 private:
  class Impl;

  std::unique_ptr<Impl> impl;
};

}  // namespace sapphirecrank::load
