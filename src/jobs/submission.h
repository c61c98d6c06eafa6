#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/priority_class.h"
#include "base/resources.h"
#include "base/time.h"

namespace sapphirecrank::jobs {

/// A job as its caller submitted it.
struct Submission {
  /// One task of the job.
  struct Task {
    base::TaskKind kind;
    std::string payload;
    /// Resources that the caller declared; may be wrong by a factor of ten.
    base::Resources declared_resources;
    /// Run time that the caller declared; zero if unknown; may be wrong by a factor of ten.
    base::Duration declared_run_time{0};
    bool idempotent = false;
  };

  base::SubmissionId id;
  base::TeamId team;
  base::PriorityClass priority_class = base::PriorityClass::kOrdinary;
  /// Time left until the deadline, measured from the call that passes the submission on.
  base::Duration time_left{0};
  std::vector<Task> tasks;
};

/// Returns a hash of everything in `submission` except its id and the time left, so that a
/// resubmission has the same hash as the original. Thread safety: pure.
uint64_t ContentHash(const Submission& submission);

}  // namespace sapphirecrank::jobs
