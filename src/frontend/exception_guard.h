#pragma once

#include <functional>
#include <string>

#include "frontend/http_server.h"

namespace sapphirecrank::frontend {

/// Wraps `handler` so that an exception in it fails only its request: the response is 500, without
/// a statement on whether the request has run, and `on_exception` gets the exception's text.
/// Without the guard, the exception would end the process in the middle of the HTTP library. Thread
/// safety: as that of `handler` and `on_exception`.
HttpServer::RequestHandler GuardAgainstExceptions(
    HttpServer::RequestHandler handler,
    std::function<void(const HttpRequest&, const std::string& reason)> on_exception);

}  // namespace sapphirecrank::frontend
