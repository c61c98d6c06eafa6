#include "bench/load/class_results.h"

#include <fmt/format.h>

#include "bench/load/percentile.h"

namespace sapphirecrank::load {

namespace {

using FractionalMilliseconds = std::chrono::duration<double, std::milli>;

}  // namespace

void ClassResults::AddCompleteResponse(base::Duration response_time,
                                       base::Duration ideal_response_time) {
  this->response_ms.push_back(FractionalMilliseconds(response_time).count());
  this->slowdowns.push_back(FractionalMilliseconds(response_time) /
                            FractionalMilliseconds(ideal_response_time));
}

void ClassResults::AddFailedResponse(bool has_not_run) {
  if (has_not_run) {
    ++this->not_run_count;
  } else {
    ++this->failed_count;
  }
}

std::string ClassResults::TableHeading() {
  return fmt::format("{:<10}{:>10}{:>9}{:>8}{:>10}{:>10}{:>10}{:>10}{:>14}{:>14}", "class",
                     "complete", "not run", "failed", "p50 ms", "p90 ms", "p99 ms", "max ms",
                     "slowdown p50", "slowdown p99");
}

std::string ClassResults::TableRow(const std::string& name) {
  return fmt::format("{:<10}{:>10}{:>9}{:>8}{:>10.1f}{:>10.1f}{:>10.1f}{:>10.1f}{:>14.2f}{:>14.2f}",
                     name, this->response_ms.size(), this->not_run_count, this->failed_count,
                     Percentile(this->response_ms, 0.5), Percentile(this->response_ms, 0.9),
                     Percentile(this->response_ms, 0.99), Percentile(this->response_ms, 1),
                     Percentile(this->slowdowns, 0.5), Percentile(this->slowdowns, 0.99));
}

}  // namespace sapphirecrank::load
