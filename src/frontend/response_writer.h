#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "frontend/http_response.h"
#include "frontend/work_result.h"

namespace sapphirecrank::frontend {

/// Returns the response for an error, with its code, field, message and verdict. Thread safety:
/// pure.
HttpResponse ErrorResponse(const base::Error& error);

/// Returns the response to a job: all results, or the error and the verdict on each task. Thread
/// safety: pure.
HttpResponse JobResponse(const base::SubmissionId& submission, const WorkResult& result);

/// Returns the response to a request: the body of the runner's response unchanged, or the error.
/// Precondition: a result without an error has exactly one task. Thread safety: pure.
HttpResponse RequestResponse(const WorkResult& result);

}  // namespace sapphirecrank::frontend
