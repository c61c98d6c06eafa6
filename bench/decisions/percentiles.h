#pragma once

#include <cstddef>
#include <vector>

namespace sapphirecrank::bench {

/// Percentiles of a set of values; all are zero if the set is empty.
struct Percentiles {
  double p50 = 0;
  double p99 = 0;
  double p999 = 0;
  size_t count = 0;

  /// Returns the percentiles of `values`.
  static Percentiles Compute(std::vector<double> values);
};

}  // namespace sapphirecrank::bench
