#include "frontend/exception_guard.h"

#include <CppUTest/TestHarness.h>

#include <optional>
#include <stdexcept>
#include <string>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)

TEST_GROUP(ExceptionGuard){};

// Guards against an unexpected error in the handling of one request that ends the whole process.
TEST(ExceptionGuard, ExceptionFailsOnlyItsRequest) {
  std::string reason;
  const auto guarded = frontend::GuardAgainstExceptions(
      [](const frontend::HttpRequest& request,
         const frontend::HttpServer::ResponseCallback& respond) {
        if (request.path == "/bad") {
          throw std::runtime_error("unexpected");
        }
        respond(frontend::HttpResponse());
      },
      [&reason](const frontend::HttpRequest&, const std::string& text) { reason = text; });
  std::optional<frontend::HttpResponse> response;
  const auto respond = [&response](const frontend::HttpResponse& received) { response = received; };
  frontend::HttpRequest request;
  request.path = "/bad";
  guarded(request, respond);
  LONGS_EQUAL(500, response->status);
  STRCMP_EQUAL("unexpected", reason.c_str());
  request.path = "/good";
  guarded(request, respond);
  LONGS_EQUAL(200, response->status);
}
