#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "frontend/http_response.h"
#include "frontend/work_result.h"

namespace sapphirecrank::frontend {

/// Returns the response for an error: its code, field, message and verdict. Thread safety: pure.
HttpResponse ErrorResponse(const base::Error& error);

/// Returns the response to a job: all results, or the error and a verdict for each task.
HttpResponse JobResponse(const base::SubmissionId& submission, const WorkResult& answer);

/// Returns the response to a request: the runner's answer as it is, or the error.
HttpResponse RequestResponse(const WorkResult& answer);

}  // namespace sapphirecrank::frontend
