#pragma once

#include <string>
#include <vector>

#include "base/time.h"

namespace sapphirecrank::load {

/// Responses to the arrivals of one priority class. Thread safety: none.
class ClassResults {
 public:
  /// Records a successful response. `ideal_response_time` is the run time of the longest task; the
  /// slowdown is the ratio of the two.
  void AddCompleteResponse(base::Duration response_time, base::Duration ideal_response_time);

  /// Records any other response. `has_not_run` tells whether its verdict is "not run".
  void AddFailedResponse(bool has_not_run);

  /// Returns the heading of the rows that `TableRow` returns.
  static std::string TableHeading();

  /// Returns a row that begins with `name`, with counts and with percentiles in milliseconds.
  std::string TableRow(const std::string& name);

 private:
  std::vector<double> response_ms;
  std::vector<double> slowdowns;
  size_t not_run_count = 0;
  size_t failed_count = 0;
};

}  // namespace sapphirecrank::load
