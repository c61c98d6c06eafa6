#include "platform/control_api.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include "clusterhost/allocator_host.h"
#include "observability/logger.h"
#include "storage/posix_file_system.h"
#include "tests/support/free_port.h"
#include "tests/support/temporary_folder.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::DataCentreId;
using clusterhost::AllocatorHost;

namespace {

// Reached only if a test fails; a group of one host has a leader after about a second.
constexpr int kMaximumAttempts = 500;

}  // namespace

/// A group of one allocator.
TEST_GROUP(ControlApi) {
  observability::Logger logger{observability::LogLevel::kError,
                               observability::Logger::StandardOutputHooks()};
  testing::TemporaryFolder folder;
  std::unique_ptr<AllocatorHost> host;
  std::unique_ptr<platform::ControlApi> api;

  void setup() override {
    const std::string address = testing::FreeLoopbackAddress();
    AllocatorHost::Settings settings;
    settings.host.name = address;
    settings.host.data_centre = DataCentreId("own");
    settings.host.incarnation = base::Incarnation(1);
    settings.host.advertised_peer_address = base::NetworkAddress(address);
    settings.host.seeds = {base::NetworkAddress(address)};
    settings.group.self = base::HostId(address);
    settings.group.incarnation = settings.host.incarnation;
    settings.group.seeds = {base::HostId(address)};
    settings.group.bootstrap = true;
    settings.group.data_folder = this->folder.Path();
    settings.group.file_system = storage::MakePosixFileSystem();
    settings.data_centres = {DataCentreId("other")};
    AllocatorHost::TargetCalls calls;
    calls.start_run = [](const runs::StartRequest&, const auto&) {};
    calls.stop_run = [](const runs::StopRequest&, const auto&) {};
    calls.poll_target = [](const runs::PollRequest&, const auto&) {};
    this->host = std::make_unique<AllocatorHost>(settings, calls, this->logger);
    this->api = std::make_unique<platform::ControlApi>(*this->host, "80");
    CHECK_TRUE(this->host->Start().has_value());
  }

  void teardown() override { this->host.reset(); }

  frontend::HttpResponse Handle(const std::string& method, const std::string& path,
                                const std::string& body = "") {
    frontend::HttpRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    std::promise<frontend::HttpResponse> response;
    this->api->Handle(request, [&response](const frontend::HttpResponse& received) {
      response.set_value(received);
    });
    return response.get_future().get();
  }

  /// Repeats a request while its response is 503, as operators do.
  int StatusOnceAvailable(const std::string& method, const std::string& path) {
    int status = 0;
    for (int i = 0; i < kMaximumAttempts && (status == 0 || status == 503); ++i) {
      status = this->Handle(method, path).status;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return status;
  }
};

// Guards against orders that are acknowledged and not in force, and against orders for known data
// centres that are refused.
TEST(ControlApi, StartsAndFinishesEvacuations) {
  LONGS_EQUAL(200, this->StatusOnceAvailable("POST", "/sapphirecrank/Evacuations.Start/other"));
  LONGS_EQUAL(200, this->StatusOnceAvailable("POST", "/sapphirecrank/Evacuations.Start/own"));
  LONGS_EQUAL(200, this->StatusOnceAvailable("POST", "/sapphirecrank/Evacuations.Start/own"));
  LONGS_EQUAL(200, this->StatusOnceAvailable("POST", "/sapphirecrank/Evacuations.Finish/other"));
  LONGS_EQUAL(200, this->StatusOnceAvailable("DELETE", "/v1/evacuations/other"));
  const frontend::HttpResponse list = this->Handle("GET", "/v1/evacuations");
  LONGS_EQUAL(200, list.status);
  CHECK(list.body.find(R"("data_centre":"own")") != std::string::npos);
  CHECK(list.body.find(R"("data_centre":"other")") == std::string::npos);
  CHECK(list.body.find(R"("revision":3)") != std::string::npos);
}

// Guards against a mistaken order that changes something: an unknown or empty name, a body, a
// method or a call that doesn't exist.
TEST(ControlApi, RefusesMistakenOrders) {
  for (const std::string call : {"Start", "Finish"}) {
    const std::string path = "/sapphirecrank/Evacuations." + call;
    for (const char* name : {"/nowhere", "/", "/own/", "/own/other", "/OWN"}) {
      const frontend::HttpResponse response = this->Handle("POST", path + name);
      LONGS_EQUAL(400, response.status);
      CHECK(response.body.find("\"error\"") != std::string::npos);
    }
    LONGS_EQUAL(400, this->Handle("POST", path + "/own", "{}").status);
    for (const char* method : {"GET", "PUT", "DELETE"}) {
      LONGS_EQUAL(405, this->Handle(method, path + "/own").status);
    }
    LONGS_EQUAL(404, this->Handle("POST", path).status);
  }
  LONGS_EQUAL(404, this->Handle("POST", "/sapphirecrank/Evacuations.Stop/own").status);
  const frontend::HttpResponse list = this->Handle("GET", "/v1/evacuations");
  STRCMP_EQUAL(R"({"evacuations":[],"revision":0})", list.body.c_str());
}
