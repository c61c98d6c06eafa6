#pragma once

#include <string>
#include <tl/expected.hpp>
#include <utility>

#include "base/error.h"

namespace sapphirecrank::base {

/// A value, or the error that prevented it.
template <typename T>
using Result = tl::expected<T, Error>;

/// Returns an error result. `field` names the invalid input field, or is empty.
inline tl::unexpected<Error> MakeErrorResult(ErrorCode code, std::string message,
                                             std::string field = "",
                                             ExecutionVerdict verdict = ExecutionVerdict::kNotRun) {
  return tl::make_unexpected(Error{code, std::move(field), std::move(message), verdict});
}

}  // namespace sapphirecrank::base
