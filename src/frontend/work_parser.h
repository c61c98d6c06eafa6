#pragma once

#include <string>

#include "base/result.h"
#include "frontend/submitted_work.h"
#include "targets/target_announcement.h"

namespace sapphirecrank::frontend {

/// Largest number of tasks of a job.
constexpr size_t kMaximumTasksPerJob = 200;

/// Reads the body of `POST /v1/jobs`. Errors name the faulty field; all have the verdict "not run".
/// Thread safety: pure.
base::Result<SubmittedWork> ParseJob(const std::string& body);

/// Reads the body of `POST /v1/requests`, as `ParseJob`.
base::Result<SubmittedWork> ParseRequest(const std::string& body);

/// Reads the body of `POST /v1/targets`, as `ParseJob`.
base::Result<targets::TargetAnnouncement> ParseAnnouncement(const std::string& body);

}  // namespace sapphirecrank::frontend
