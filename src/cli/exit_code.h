#pragma once

namespace sapphirecrank::cli {

/// Exit codes of the program; documented in docs/OPERATIONS.md.
enum class ExitCode {
  kOk = 0,
  /// The operation failed; its work may have run or has run.
  kFailed = 1,
  /// The command line is invalid, or the file to submit can't be read or isn't a JSON object.
  kUsageError = 2,
  /// The settings or a file that they name is invalid or can't be read.
  kInvalidSettings = 3,
  /// The work was rejected and has not run; it is safe to submit it again.
  kNotRun = 4,
  /// The entry host can't be reached; nothing was sent.
  kUnreachable = 5,
  /// The credential is missing or wrong, doesn't permit the operation, or its file can't be read.
  kDenied = 6,
};

}  // namespace sapphirecrank::cli
