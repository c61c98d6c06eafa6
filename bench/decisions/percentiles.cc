#include "bench/decisions/percentiles.h"

#include <algorithm>

namespace sapphirecrank::bench {

Percentiles Percentiles::Compute(std::vector<double> values) {
  Percentiles result;
  result.count = values.size();
  if (values.empty()) {
    return result;
  }
  std::sort(values.begin(), values.end());
  const auto value_at = [&](double share) {
    return values[std::min(values.size() - 1,
                           static_cast<size_t>(share * static_cast<double>(values.size())))];
  };
  result.p50 = value_at(0.5);
  result.p99 = value_at(0.99);
  result.p999 = value_at(0.999);
  return result;
}

}  // namespace sapphirecrank::bench
