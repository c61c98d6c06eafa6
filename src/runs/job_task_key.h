#pragma once

#include <tuple>

#include "base/ids.h"

namespace sapphirecrank::runs {

/// Identifies one task of one job.
struct JobTaskKey {
  base::SubmissionId job;
  base::OccurrenceNumber occurrence;
  base::StepIndex step;
  base::TaskIndex index;

  friend bool operator==(const JobTaskKey& a, const JobTaskKey& b) {
    return std::tie(a.job, a.occurrence, a.step, a.index) ==
           std::tie(b.job, b.occurrence, b.step, b.index);
  }
  friend bool operator<(const JobTaskKey& a, const JobTaskKey& b) {
    return std::tie(a.job, a.occurrence, a.step, a.index) <
           std::tie(b.job, b.occurrence, b.step, b.index);
  }
};

}  // namespace sapphirecrank::runs
