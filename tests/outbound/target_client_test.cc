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
      [&promise](const TargetResponse& answer) { promise.set_value(answer); });
  return promise.get_future().get();
}

testing::FakeTargetSettings Behaviour(testing::FakeRunBehaviour action) {
  testing::FakeTargetSettings settings;
  settings.choose_behaviour = [action](const std::string&, const std::string&) { return action; };
  return settings;
}

/// Answers the first request on a connection and closes it after reading the second.
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
    // A failed test may leave a connection open, on which the thread would read for ever.
    shutdown(this->open_connection, SHUT_RDWR);
    this->thread.join();
    close(this->listener);
  }

  std::string Address() const { return "127.0.0.1:" + std::to_string(this->port); }
  int Requests() const { return this->requests; }

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
    static constexpr char kAnswer[] =
        "HTTP/1.1 200 OK\r\nSapphirecrank-Task: a/1/1\r\nContent-Length: 2\r\n\r\n{}";
    char buffer[4096];
    std::string received;
    bool has_answered = false;
    ssize_t length = 0;
    while ((length = read(connection, buffer, sizeof(buffer))) > 0) {
      received.append(buffer, static_cast<size_t>(length));
      if (received.find(R"({"echo":7})") == std::string::npos) {
        continue;
      }
      received.clear();
      ++this->requests;
      if (has_answered) {
        return;
      }
      has_answered = true;
      if (write(connection, kAnswer, sizeof(kAnswer) - 1) < 0) {
        return;
      }
    }
  }

  int listener;
  int port = 0;
  std::atomic<int> requests{0};
  std::atomic<int> open_connection{-1};
  std::thread thread;
};

}  // namespace

TEST_GROUP(TargetClient) { TargetClient client{outbound::HttpClientSettings()}; };

// Guards against an answer that doesn't arrive whole.
TEST(TargetClient, AnswerIsReturned) {
  testing::FakeRunBehaviour action;
  action.body = std::string(100000, 'x');
  testing::FakeTarget target(Behaviour(action));
  const TargetResponse answer = CallAndWait(this->client, target.Address());
  CHECK_TRUE(answer.succeeded);
  CHECK(answer.verdict == ExecutionVerdict::kRan);
  CHECK(answer.body == action.body);
}

// Guards against the answer to another attempt that reaches this caller.
TEST(TargetClient, CrossedAnswerIsDiscarded) {
  testing::FakeRunBehaviour action;
  action.body = "\"of another caller\"";
  action.wrong_attempt_id = "a/1/2";
  testing::FakeTarget target(Behaviour(action));
  const TargetResponse answer = CallAndWait(this->client, target.Address());
  CHECK_FALSE(answer.succeeded);
  CHECK(answer.verdict == ExecutionVerdict::kMayHaveRun);
  CHECK_TRUE(answer.body.empty());
}

// Guards against "may have run" for a task that surely didn't, which would fail a whole job.
TEST(TargetClient, RefusedConnectionIsNotRun) {
  std::string address;
  {
    testing::FakeTarget target(Behaviour({}));
    address = target.Address();
  }
  const TargetResponse answer = CallAndWait(this->client, address);
  CHECK_FALSE(answer.succeeded);
  CHECK(answer.verdict == ExecutionVerdict::kNotRun);
}

// Guards against a false "not run" when the target started the task and never answered.
TEST(TargetClient, SilentTargetMayHaveRun) {
  testing::FakeRunBehaviour action;
  action.never_responds = true;
  testing::FakeTarget target(Behaviour(action));
  const TargetResponse answer =
      CallAndWait(this->client, target.Address(), std::chrono::milliseconds(100));
  CHECK(answer.verdict == ExecutionVerdict::kMayHaveRun);
  CHECK(answer.error.code == base::ErrorCode::kDeadlineExceeded);
  LONGS_EQUAL(1, target.StartedPayloads().size());
}

// Guards against an error status that is taken as success.
TEST(TargetClient, ErrorStatusIsAFailureThatRan) {
  testing::FakeRunBehaviour action;
  action.status = 500;
  testing::FakeTarget target(Behaviour(action));
  const TargetResponse answer = CallAndWait(this->client, target.Address());
  CHECK_FALSE(answer.succeeded);
  CHECK(answer.verdict == ExecutionVerdict::kRan);
}

// Guards against a second start by libcurl's own resend when a reused connection is closed after
// the request was read. Seen to fail with CURLOPT_COPYPOSTFIELDS in place of the read function.
TEST(TargetClient, ClosedReusedConnectionIsNotSentAgain) {
  ClosingServer server;
  CHECK_TRUE(CallAndWait(this->client, server.Address()).succeeded);
  const TargetResponse second = CallAndWait(this->client, server.Address());
  CHECK_FALSE(second.succeeded);
  CHECK(second.verdict == ExecutionVerdict::kMayHaveRun);
  LONGS_EQUAL(2, server.Requests());
}
