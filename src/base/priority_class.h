#pragma once

#include <string_view>

#include "base/result.h"

namespace sapphirecrank::base {

/// Priority class of a request or job, most urgent first.
enum class PriorityClass { kUrgent, kOrdinary, kBulk };

constexpr int kPriorityClassCount = 3;

/// Returns the class's name: "urgent", "ordinary" or "bulk".
std::string_view PriorityClassName(PriorityClass priority_class);

/// Returns the class called `name`, or `kInvalidArgument` for the field "class".
Result<PriorityClass> ParsePriorityClass(std::string_view name);

}  // namespace sapphirecrank::base
