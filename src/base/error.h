#pragma once

#include <string>

#include "base/error_code.h"
#include "base/execution_verdict.h"

namespace sapphirecrank::base {

/// Why an operation failed, and whether the work that it concerned may have run.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  /// Name of the invalid input field, or empty.
  std::string field;
  std::string message;
  ExecutionVerdict verdict = ExecutionVerdict::kNotRun;

  friend bool operator==(const Error& a, const Error& b) {
    return a.code == b.code && a.field == b.field && a.message == b.message &&
           a.verdict == b.verdict;
  }
};

}  // namespace sapphirecrank::base
