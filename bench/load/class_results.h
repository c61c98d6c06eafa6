#pragma once

#include <string>
#include <vector>

#include "base/time.h"

namespace sapphirecrank::load {

/// Results of one class of work.
class ClassResults {
 public:
  /// Notes a complete answer; `ideal_run_time` is the run time of its longest task.
  void AddCompleteResponse(base::Duration response_time, base::Duration ideal);

  /// Notes an answer other than a complete one.
  void AddFailedResponse(bool has_not_run);

  /// Returns the heading of the lines that `TableRow` gives.
  static std::string TableHeading();

  /// Returns a line with counts and percentiles, in ms.
  std::string TableRow(const std::string& name);

 private:
  std::vector<double> response_ms;
  std::vector<double> slowdowns;
  size_t not_run_count = 0;
  size_t failed_count = 0;
};

}  // namespace sapphirecrank::load
