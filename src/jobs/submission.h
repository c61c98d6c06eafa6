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
    /// Declared by the caller; may be off by a factor of ten.
    base::Resources declared_resources;
    /// Declared by the caller; zero if unknown; may be off by a factor of ten.
    base::Duration declared_run_time{0};
    bool idempotent = false;
  };

  base::SubmissionId id;
  base::TeamId team;
  base::PriorityClass priority_class = base::PriorityClass::kOrdinary;
  /// Time left until the deadline, counted from the moment the submission is handed over.
  base::Duration time_left{0};
  std::vector<Task> tasks;
};

/// Returns a hash of everything in `submission` but its id and the time left, so that a
/// resubmission has the hash of the original. Thread safety: pure.
uint64_t ContentHash(const Submission& submission);

}  // namespace sapphirecrank::jobs
