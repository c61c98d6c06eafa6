#include "frontend/http_server.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using frontend::HttpRequest;
using frontend::HttpServer;

namespace {

int Connect(const base::NetworkAddress& address) {
  const std::string& text = address.value();
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  to.sin_port = htons(static_cast<uint16_t>(std::stoi(text.substr(text.rfind(':') + 1))));
  const int connection = socket(AF_INET, SOCK_STREAM, 0);
  if (connect(connection, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0) {
    return -1;
  }
  return connection;
}

void Ask(int connection) {
  static constexpr char kRequest[] = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
  (void)!write(connection, kRequest, sizeof(kRequest) - 1);
}

std::string ReadAll(int connection) {
  std::string all;
  char buffer[4096];
  ssize_t length = 0;
  while ((length = read(connection, buffer, sizeof(buffer))) > 0) {
    all.append(buffer, static_cast<size_t>(length));
  }
  return all;
}

}  // namespace

TEST_GROUP(HttpServer) {
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<HttpServer::ResponseCallback> open;
  std::vector<uint64_t> numbers;
  std::vector<uint64_t> left;
  frontend::HttpServerSettings settings;

  void setup() override {
    this->settings.listen_address = base::NetworkAddress("127.0.0.1:0");
    this->settings.thread_count = 1;
  }

  HttpServer::RequestHandler Keep() {
    return [this](const HttpRequest& request, const HttpServer::ResponseCallback& respond) {
      std::lock_guard<std::mutex> lock(this->mutex);
      this->open.push_back(respond);
      this->numbers.push_back(request.request_id);
      this->changed.notify_all();
    };
  }

  template <typename Condition>
  void WaitFor(Condition condition) {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait(lock, condition);
  }
};

// Guards against tasks that run on after their caller has closed its connection: it may submit the
// job again elsewhere.
TEST(HttpServer, NoticesACallerThatLeavesBeforeItsAnswer) {
  HttpServer server(this->settings, this->Keep(), [this](uint64_t number) {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->left.push_back(number);
    this->changed.notify_all();
  });
  CHECK_TRUE(server.Start().has_value());
  const int staying = Connect(server.ListenAddress());
  Ask(staying);
  this->WaitFor([this] { return this->open.size() == 1; });
  const int leaving = Connect(server.ListenAddress());
  Ask(leaving);
  this->WaitFor([this] { return this->open.size() == 2; });
  close(leaving);
  this->WaitFor([this] { return !this->left.empty(); });
  LONGS_EQUAL(1, this->left.size());
  LONGS_EQUAL(this->numbers[1], this->left[0]);
  for (const HttpServer::ResponseCallback& respond : this->open) {
    respond({});
  }
  close(staying);
}

// Guards against a request that waited in a stalled process and is started after its caller has
// closed the connection and sent it again elsewhere.
TEST(HttpServer, DoesNotHandleARequestWhoseCallerHasLeft) {
  bool is_released = false;
  HttpServer server(
      this->settings,
      [&](const HttpRequest& request, const HttpServer::ResponseCallback& respond) {
        std::unique_lock<std::mutex> lock(this->mutex);
        this->numbers.push_back(request.request_id);
        this->changed.notify_all();
        this->changed.wait(lock, [&is_released] { return is_released; });
        respond({});
      },
      [](uint64_t /*number*/) {});
  CHECK_TRUE(server.Start().has_value());
  const int stalling = Connect(server.ListenAddress());
  Ask(stalling);
  this->WaitFor([this] { return this->numbers.size() == 1; });
  const int leaving = Connect(server.ListenAddress());
  Ask(leaving);
  shutdown(leaving, SHUT_WR);
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    is_released = true;
    this->changed.notify_all();
  }
  // The server closes the connection once it is done with the request.
  ReadAll(leaving);
  LONGS_EQUAL(1, this->numbers.size());
  close(stalling);
  close(leaving);
}

// Guards against callers that stay on a host that stops.
TEST(HttpServer, ClosesConnectionsAfterTheirAnswersWhenToldTo) {
  HttpServer server(this->settings, this->Keep());
  CHECK_TRUE(server.Start().has_value());
  const int connection = Connect(server.ListenAddress());
  Ask(connection);
  this->WaitFor([this] { return this->open.size() == 1; });
  server.CloseConnectionsAfterResponses();
  this->open[0]({});
  const std::string answer = ReadAll(connection);
  CHECK(answer.find("200 OK") != std::string::npos);
  CHECK(answer.find("Connection: close") != std::string::npos);
  close(connection);
}
