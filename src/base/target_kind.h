#pragma once

#include <string_view>

#include "base/result.h"

namespace sapphirecrank::base {

/// The two kinds of targets: runners serve requests, workers run tasks of jobs.
enum class TargetKind { kRunner, kWorker };

/// Returns the kind's name: "runner" or "worker".
std::string_view TargetKindName(TargetKind kind);

/// Returns the kind called `name`, or `kInvalidArgument` for the field "kind".
Result<TargetKind> ParseTargetKind(std::string_view name);

}  // namespace sapphirecrank::base
