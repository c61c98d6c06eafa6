#pragma once

namespace sapphirecrank::cli {

/// Exit codes of the program; documented in docs/OPERATIONS.md.
enum class ExitCode {
  kOk = 0,
  /// The operation failed; work may have run or has run.
  kFailed = 1,
  /// The command line is wrong.
  kUsageError = 2,
  /// The settings or a file named in them can't be used.
  kInvalidSettings = 3,
  /// The work was refused and has not run; it is safe to submit it again.
  kNotRun = 4,
  /// The entry host can't be reached; nothing was sent.
  kUnreachable = 5,
  /// The credential is missing, wrong or doesn't allow the operation.
  kDenied = 6,
};

}  // namespace sapphirecrank::cli
