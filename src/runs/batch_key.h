#pragma once

#include <tuple>

#include "base/ids.h"

namespace sapphirecrank::runs {

/// Identifies one batch of a job: the gateway that placed it, the job and the number of the batch.
struct BatchKey {
  base::HostId gateway;
  base::SubmissionId job;
  base::BatchNumber batch;

  friend bool operator==(const BatchKey& a, const BatchKey& b) {
    return a.batch == b.batch && a.job == b.job && a.gateway == b.gateway;
  }
  friend bool operator<(const BatchKey& a, const BatchKey& b) {
    return std::tie(a.job, a.gateway, a.batch) < std::tie(b.job, b.gateway, b.batch);
  }
};

}  // namespace sapphirecrank::runs
