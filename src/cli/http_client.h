#pragma once

#include <functional>
#include <string>

#include "base/result.h"
#include "base/time.h"
#include "cli/http_client_request.h"
#include "cli/http_client_response.h"

namespace sapphirecrank::cli {

/// Sends a request to an entry host and waits for the response. `on_waiting` is called about once a
/// second with the time since the start. Errors: `kUnavailable` with "not run" if nothing was sent,
/// otherwise `kDeadlineExceeded` or `kInternal` with "may have run". Precondition: `on_waiting` is
/// set. Thread safety: may be called from any thread.
base::Result<HttpClientResponse> CallEntryHost(
    const HttpClientRequest& request, const std::function<void(base::Duration)>& on_waiting);

/// Percent-encodes `text` for use as one segment of a URL path. Thread safety: pure.
std::string EscapePathSegment(const std::string& text);

}  // namespace sapphirecrank::cli
