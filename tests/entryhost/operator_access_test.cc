#include <CppUTest/TestHarness.h>

#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "cli/http_client.h"
#include "entryhost/entry_host.h"
#include "tests/support/fake_target.h"
#include "tests/support/free_port.h"
#include "tests/support/temporary_folder.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using cli::HttpClientResponse;
using frontend::OperatorRole;

namespace {

constexpr const char* kReadOnlyCredential = "monitor:reading-secret-0001";
constexpr const char* kTeamCredential = "tags:team-secret-000003";
constexpr const char* kRequestBody =
    R"({"team": "tags", "class": "urgent", "payload": {"echo": 7}})";

}  // namespace

TEST_GROUP(OperatorAccess) {
  void setup() override {
    configuration::Settings settings;
    settings.host = base::HostId("ba-0");
    settings.data_centre = base::DataCentreId("ba");
    settings.http_listen_address = base::NetworkAddress("127.0.0.1:0");
    settings.peer_listen_address = base::NetworkAddress(testing::FreeLoopbackAddress());
    settings.teams = {{base::TeamId("tags"), base::Weight(1)}};
    settings.data_folder = this->folder.Path();
    const frontend::Authenticator authenticator(
        {{"monitor", OperatorRole::kReadOnly, "reading-secret-0001"}},
        {{base::TeamId("tags"), "team-secret-000003"}});
    this->logger = std::make_unique<observability::Logger>(
        observability::LogLevel::kInfo,
        observability::Logger::Hooks{base::SteadyClock(), [this](const std::string& line) {
                                       std::lock_guard<std::mutex> lock(this->mutex);
                                       this->log += line + "\n";
                                     }});
    this->host = std::make_unique<entryhost::EntryHost>(settings, "0123456789abcdef", *this->logger,
                                                        authenticator);
    CHECK_TRUE(this->host->Start().has_value());
    testing::FakeTargetSettings target_settings;
    target_settings.announcement.id = base::TargetId("runner-0");
    target_settings.announcement.kind = base::TargetKind::kRunner;
    target_settings.announcement.data_centre = settings.data_centre;
    target_settings.announcement.slots = base::SlotCount(1);
    target_settings.announcement.connections = base::ConnectionCount(8);
    target_settings.announcement.rack = base::RackId("rack-0");
    target_settings.entry_hosts = {this->host->HttpAddress().value()};
    target_settings.choose_behaviour = [](const std::string&, const std::string& payload) {
      return testing::EchoBehaviour(payload);
    };
    this->target = std::make_unique<testing::FakeTarget>(target_settings);
  }

  void teardown() override {
    this->target.reset();
    this->host.reset();
  }

  HttpClientResponse Send(const std::string& method, const std::string& path,
                          const std::string& credential, const std::string& body = "") {
    cli::HttpClientRequest request;
    request.entry_host = this->host->HttpAddress();
    request.method = method;
    request.path = path;
    request.body = body;
    request.credential = credential;
    request.timeout = std::chrono::seconds(30);
    const auto response = cli::CallEntryHost(request, [](base::Duration) {});
    CHECK_TRUE_TEXT(response.has_value(),
                    response.has_value() ? "" : response.error().message.c_str());
    return *response;
  }

  bool HasLogged(const std::string& part) {
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->log.find(part) != std::string::npos;
  }

  testing::TemporaryFolder folder;
  std::mutex mutex;
  std::string log;
  std::unique_ptr<observability::Logger> logger;
  std::unique_ptr<entryhost::EntryHost> host;
  std::unique_ptr<testing::FakeTarget> target;
};

// Guards against an entry host that doesn't apply access control, against a rejected change that is
// made or leaves no audit log line, and against work that is missing from the metrics.
TEST(OperatorAccess, RejectedChangesAreAuditedAndWorkIsCounted) {
  LONGS_EQUAL(401, this->Send("POST", "/v1/requests", "", kRequestBody).status);
  LONGS_EQUAL(401, this->Send("GET", "/metrics", "").status);
  LONGS_EQUAL(401, this->Send("POST", "/v1/drain", "").status);
  LONGS_EQUAL(403, this->Send("POST", "/v1/drain", kReadOnlyCredential).status);
  CHECK_TRUE(this->HasLogged("message=\"audit\" operator=\"\" remote=127.0.0.1 method=POST"));
  CHECK_TRUE(this->HasLogged("operator=monitor remote=127.0.0.1 method=POST path=/v1/drain"));
  CHECK_FALSE(this->HasLogged("reading-secret"));
  const HttpClientResponse response =
      this->Send("POST", "/v1/requests", kTeamCredential, kRequestBody);
  LONGS_EQUAL(200, response.status);
  STRCMP_EQUAL("7", response.body.c_str());
  const std::string status = this->Send("GET", "/v1/status", kReadOnlyCredential).body;
  CHECK_TRUE(status.find("\"leaving\":false,\"load\"") != std::string::npos);
  const std::string metrics = this->Send("GET", "/metrics", kReadOnlyCredential).body;
  for (const char* line :
       {"sapphirecrank_task_starts_total{class=\"urgent\",team=\"tags\"} 1\n",
        "sapphirecrank_response_seconds_count{class=\"urgent\",team=\"tags\"} 1\n",
        "sapphirecrank_slowdown_ratio_count{class=\"urgent\",team=\"tags\"} 1\n",
        "sapphirecrank_messages_total{kind=\"target_call\"} 1\n",
        "sapphirecrank_refusals_total{code=\"unauthenticated\",verdict=\"not run\"} 2\n"}) {
    CHECK_TRUE_TEXT(metrics.find(line) != std::string::npos, line);
  }
}
