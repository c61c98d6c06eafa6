#include "outbound/target_client.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <future>
#include <string>
#include <thread>

#include "tests/support/fake_target.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::ExecutionVerdict;
using dispatch::TargetResponse;
using outbound::TargetClient;

namespace {

TargetResponse CallAndWait(TargetClient& client, const std::string& address,
                           base::Duration timeout = std::chrono::seconds(5)) {
  std::promise<TargetResponse> promise;
  client.StartTask(
      {base::NetworkAddress(address), base::AttemptId("a/1/1"), R"({"echo":7})", timeout},
      [&promise](const TargetResponse& response) { promise.set_value(response); });
  return promise.get_future().get();
}

testing::FakeTargetSettings MakeSettings(testing::FakeRunBehaviour behaviour) {
  testing::FakeTargetSettings settings;
  settings.choose_behaviour = [behaviour](const std::string&, const std::string&) {
    return behaviour;
  };
  return settings;
}

/// Responds to the first request on a connection and closes the connection after reading the
/// second.
class ClosingServer {
 public:
  ClosingServer() : listener(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    (void)bind(this->listener, reinterpret_cast<sockaddr*>(&address), length);
    listen(this->listener, 8);
    getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &length);
    this->port = ntohs(address.sin_port);
    this->thread = std::thread([this] { this->Serve(); });
  }

  ~ClosingServer() {
    shutdown(this->listener, SHUT_RDWR);
    // A failed test may leave a connection open; the thread would block on reading from it.
    shutdown(this->open_connection, SHUT_RDWR);
    this->thread.join();
    close(this->listener);
  }

  std::string Address() const { return "127.0.0.1:" + std::to_string(this->port); }
  int RequestCount() const { return this->request_count; }

 private:
  void Serve() {
    int connection = -1;
    while ((connection = accept(this->listener, nullptr, nullptr)) >= 0) {
      this->open_connection = connection;
      this->ServeConnection(connection);
      close(connection);
    }
  }

  void ServeConnection(int connection) {
    static constexpr char kResponse[] =
        "HTTP/1.1 200 OK\r\nSapphirecrank-Task: a/1/1\r\nContent-Length: 2\r\n\r\n{}";
    char buffer[4096];
    std::string received;
    bool has_responded = false;
    ssize_t length = 0;
    while ((length = read(connection, buffer, sizeof(buffer))) > 0) {
      received.append(buffer, static_cast<size_t>(length));
      if (received.find(R"({"echo":7})") == std::string::npos) {
        continue;
      }
      received.clear();
      ++this->request_count;
      if (has_responded) {
        return;
      }
      has_responded = true;
      if (write(connection, kResponse, sizeof(kResponse) - 1) < 0) {
        return;
      }
    }
  }

  int listener;
  int port = 0;
  std::atomic<int> request_count{0};
  std::atomic<int> open_connection{-1};
  std::thread thread;
};

}  // namespace

TEST_GROUP(TargetClient) { TargetClient client{outbound::HttpClientSettings()}; };

// Guards against a response that is truncated.
TEST(TargetClient, ResponseIsReturned) {
  testing::FakeRunBehaviour behaviour;
  behaviour.body = std::string(100000, 'x');
  testing::FakeTarget target(MakeSettings(behaviour));
  const TargetResponse response = CallAndWait(this->client, target.Address());
  CHECK_TRUE(response.succeeded);
  CHECK(response.verdict == ExecutionVerdict::kRan);
  CHECK(response.body == behaviour.body);
}

// Guards against a response that carries the id of another attempt and is returned to this caller.
TEST(TargetClient, ResponseForAnotherAttemptIsDiscarded) {
  testing::FakeRunBehaviour behaviour;
  behaviour.body = "\"of another caller\"";
  behaviour.wrong_attempt_id = "a/1/2";
  testing::FakeTarget target(MakeSettings(behaviour));
  const TargetResponse response = CallAndWait(this->client, target.Address());
  CHECK_FALSE(response.succeeded);
  CHECK(response.verdict == ExecutionVerdict::kMayHaveRun);
  CHECK_TRUE(response.body.empty());
}

// Guards against the verdict "may have run" for a task that certainly hasn't run, which would fail
// the whole job.
TEST(TargetClient, RefusedConnectionIsNotRun) {
  std::string address;
  {
    testing::FakeTarget target(MakeSettings({}));
    address = target.Address();
  }
  const TargetResponse response = CallAndWait(this->client, address);
  CHECK_FALSE(response.succeeded);
  CHECK(response.verdict == ExecutionVerdict::kNotRun);
}

// Guards against a wrong "not run" when the target started the task and never responded.
TEST(TargetClient, TaskWithoutResponseMayHaveRun) {
  testing::FakeRunBehaviour behaviour;
  behaviour.never_responds = true;
  testing::FakeTarget target(MakeSettings(behaviour));
  const TargetResponse response =
      CallAndWait(this->client, target.Address(), std::chrono::milliseconds(100));
  CHECK(response.verdict == ExecutionVerdict::kMayHaveRun);
  CHECK(response.error.code == base::ErrorCode::kDeadlineExceeded);
  LONGS_EQUAL(1, target.StartedPayloads().size());
}

// Guards against an error status that counts as success.
TEST(TargetClient, ErrorStatusFailsWithTheVerdictRan) {
  testing::FakeRunBehaviour behaviour;
  behaviour.status = 500;
  testing::FakeTarget target(MakeSettings(behaviour));
  const TargetResponse response = CallAndWait(this->client, target.Address());
  CHECK_FALSE(response.succeeded);
  CHECK(response.verdict == ExecutionVerdict::kRan);
}

// Guards against a second start because libcurl sends the request again when a reused connection is
// closed after the request was read. Fails with CURLOPT_COPYPOSTFIELDS instead of the read
// function.
TEST(TargetClient, RequestOnAClosedReusedConnectionIsNotSentAgain) {
  ClosingServer server;
  CHECK_TRUE(CallAndWait(this->client, server.Address()).succeeded);
  const TargetResponse second_response = CallAndWait(this->client, server.Address());
  CHECK_FALSE(second_response.succeeded);
  CHECK(second_response.verdict == ExecutionVerdict::kMayHaveRun);
  LONGS_EQUAL(2, server.RequestCount());
}
