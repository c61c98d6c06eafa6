#pragma once

#include "base/ids.h"
#include "base/time.h"

namespace sapphirecrank::gateway {

/// Tells a refused caller when to submit its job again.
///
/// The earliest time is when the present backlog will have been served. Callers of lower priority
/// are told to come later, spread over a longer time, so that those refused together don't all
/// return together and urgent ones find free capacity first. Thread safety: pure.
class RetryAfterPolicy {
 public:
  /// `expected_wait` is the time after which a task of the job could start now, or zero if unknown.
  /// The result is between 1 s and 30 s, and the same for the same arguments.
  static base::Duration RetryAfter(base::Duration expected_wait, base::Priority priority,
                                   const base::SubmissionId& job);
};

}  // namespace sapphirecrank::gateway
