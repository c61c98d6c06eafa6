#pragma once

#include <functional>
#include <string>

#include "base/result.h"
#include "base/time.h"
#include "cli/http_client_request.h"
#include "cli/http_client_response.h"

namespace sapphirecrank::cli {

/// Calls an entry host and waits for its answer. `on_waiting` gets the time since the start about
/// once a second. Errors: `kUnavailable` with "not run" if no connection came about,
/// `kDeadlineExceeded` or `kInternal` with "may have run" otherwise. Thread safety: any thread.
base::Result<HttpClientResponse> CallEntryHost(
    const HttpClientRequest& call, const std::function<void(base::Duration)>& on_waiting);

/// Returns `text` with all characters escaped that have a meaning in a path. Thread safety: pure.
std::string EscapePathSegment(const std::string& text);

}  // namespace sapphirecrank::cli
