#pragma once

#include <string>
#include <utility>

#include "base/error.h"
#include "base/result.h"
#include "base/time.h"

namespace sapphirecrank::limits {

/// Why work was not admitted. The verdict of the error is always "not run".
struct Refusal {
  base::Error error;
  /// Time after which a retry is likely to be admitted; zero if waiting doesn't help.
  base::Duration retry_after{0};
};

/// Success if the work was admitted, otherwise the refusal.
using Admission = tl::expected<void, Refusal>;

/// Returns a refusal with the verdict "not run". `field` is the name of the input field that caused
/// the refusal, or empty.
inline tl::unexpected<Refusal> MakeRefusal(base::ErrorCode code, std::string message,
                                           std::string field,
                                           base::Duration retry_after = base::Duration(0)) {
  return tl::make_unexpected(Refusal{
      {code, std::move(field), std::move(message), base::ExecutionVerdict::kNotRun}, retry_after});
}

}  // namespace sapphirecrank::limits
