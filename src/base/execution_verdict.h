#pragma once

#include <string_view>

namespace sapphirecrank::base {

/// What is known about whether a task or request has run.
enum class ExecutionVerdict {
  /// It has not run and this attempt will never run it.
  kNotRun,
  /// It may have run, may be running, or may run later.
  kMayHaveRun,
  /// It has run.
  kRan,
};

/// Combines the verdicts on two parts of the same work: equal verdicts are kept, different ones
/// give `kMayHaveRun`. Thread safety: pure.
ExecutionVerdict CombineVerdicts(ExecutionVerdict a, ExecutionVerdict b);

/// Updates the verdict on one attempt with a later observation by the process that held the
/// attempt.
///
/// `kNotRun` and `kRan` are final: a later observation that contradicts them is ignored. Thread
/// safety: pure.
ExecutionVerdict RefineVerdict(ExecutionVerdict known, ExecutionVerdict observed);

/// Tells whether another attempt is safe: the work has not run, or a second run does no harm
/// because the work is idempotent. Thread safety: pure.
bool IsSafeToRetry(ExecutionVerdict verdict, bool idempotent);

/// Returns the verdict's text in responses: "not run", "may have run" or "ran".
std::string_view ExecutionVerdictName(ExecutionVerdict verdict);

}  // namespace sapphirecrank::base
