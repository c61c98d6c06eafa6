#include "frontend/exception_guard.h"

#include <exception>
#include <utility>

namespace sapphirecrank::frontend {

HttpServer::RequestHandler GuardAgainstExceptions(
    HttpServer::RequestHandler handler,
    std::function<void(const HttpRequest&, const std::string& reason)> on_exception) {
  return [handler = std::move(handler), on_exception = std::move(on_exception)](
             const HttpRequest& request, const HttpServer::ResponseCallback& respond) {
    try {
      handler(request, respond);
    } catch (const std::exception& error) {
      constexpr int kInternalServerError = 500;
      on_exception(request, error.what());
      HttpResponse response;
      response.status = kInternalServerError;
      response.body = R"({"error":"internal error"})";
      // The server ignores it if the handler has responded before the exception.
      respond(response);
    }
  };
}

}  // namespace sapphirecrank::frontend
