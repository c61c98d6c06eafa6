#pragma once

#include <string>

#include "base/result.h"
#include "frontend/submitted_work.h"
#include "targets/target_announcement.h"

namespace sapphirecrank::frontend {

/// Maximum number of tasks in a job.
constexpr size_t kMaximumTasksPerJob = 200;

/// Parses the body of `POST /v1/jobs`. Error: `kInvalidArgument`, which names the invalid field and
/// has the verdict "not run". Thread safety: pure.
base::Result<SubmittedWork> ParseJob(const std::string& body);

/// Parses the body of `POST /v1/requests`; errors as for `ParseJob`. Thread safety: pure.
base::Result<SubmittedWork> ParseRequest(const std::string& body);

/// Parses the body of `POST /v1/targets`; errors as for `ParseJob`. Thread safety: pure.
base::Result<targets::TargetAnnouncement> ParseAnnouncement(const std::string& body);

}  // namespace sapphirecrank::frontend
