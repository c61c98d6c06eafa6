#pragma once

#include <chrono>
#include <optional>

#include "base/ids.h"

namespace sapphirecrank::jobs {

/// Returns the creation time in an id of the form `[<data centre>:]<milliseconds since 1970>-<any>`
/// as the time since 1970, or nothing if the id has another form. Thread safety: pure.
std::optional<std::chrono::milliseconds> ParseCreationTime(const base::SubmissionId& id);

}  // namespace sapphirecrank::jobs
