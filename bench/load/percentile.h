#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

namespace sapphirecrank::load {

/// Returns the smallest value that at least `share` of the values don't exceed, or 0 without
/// values. Sorts `values`.
inline double Percentile(std::vector<double>& values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const double rank = std::ceil(share * static_cast<double>(values.size()));
  return values[static_cast<size_t>(std::max(rank, 1.0)) - 1];
}

}  // namespace sapphirecrank::load
