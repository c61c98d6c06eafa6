#include "platform/caller_api.h"

#include <CppUTest/TestHarness.h>

#include <optional>
#include <string>

#include "clusterhost/gateway_host.h"
#include "observability/logger.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)

TEST_GROUP(CallerApi) {
  observability::Logger logger{observability::LogLevel::kError,
                               observability::Logger::StandardOutputHooks()};
  clusterhost::GatewayHost host{
      clusterhost::ClusterHostSettings(),
      [](const cluster::ConfigurationRecord&) -> base::Result<cluster::Catalog> {
        return cluster::Catalog();
      },
      this->logger};
  platform::CallerApi api{this->host};
  std::optional<frontend::HttpResponse> response;

  void Handle(const char* method, const char* path) {
    frontend::HttpRequest request;
    request.request_id = 1;
    request.method = method;
    request.path = path;
    request.headers["host"] = "h";
    this->api.Handle(request,
                     [this](const frontend::HttpResponse& received) { this->response = received; });
  }
};

// Guards against a refusal without a `Retry-After` header, and against 404 from a gateway that
// doesn't know the queues yet.
TEST(CallerApi, RefusesWithoutConfiguration) {
  for (const char* method : {"POST", "GET", "DELETE"}) {
    this->Handle(method, "/p/0123456789abcdef");
    LONGS_EQUAL(503, this->response->status);
    STRCMP_EQUAL("1", this->response->headers.at("Retry-After").c_str());
  }
}

// Guards against a crash when a caller disconnects whose request was answered already.
TEST(CallerApi, IgnoresDisconnectAfterResponse) {
  this->Handle("POST", "/p/0123456789abcdef");
  this->api.OnDisconnect(1);
  LONGS_EQUAL(0, this->host.job_dispatcher().JobCount());
}
