#include "frontend/http_server.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using frontend::HttpRequest;
using frontend::HttpServer;

namespace {

int Connect(const base::NetworkAddress& address) {
  const std::string& text = address.value();
  sockaddr_in socket_address{};
  socket_address.sin_family = AF_INET;
  socket_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socket_address.sin_port =
      htons(static_cast<uint16_t>(std::stoi(text.substr(text.rfind(':') + 1))));
  const int connection = socket(AF_INET, SOCK_STREAM, 0);
  if (connect(connection, reinterpret_cast<sockaddr*>(&socket_address), sizeof(socket_address)) !=
      0) {
    return -1;
  }
  return connection;
}

/// Sends a request. The server may have closed the connection.
void SendRequest(int connection) {
  static constexpr char kRequest[] = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
  (void)!send(connection, kRequest, sizeof(kRequest) - 1, MSG_NOSIGNAL);
}

std::string ReadAll(int connection) {
  std::string received;
  char buffer[4096];
  ssize_t length = 0;
  while ((length = read(connection, buffer, sizeof(buffer))) > 0) {
    received.append(buffer, static_cast<size_t>(length));
  }
  return received;
}

/// Sends requests one after the other on one connection. Reads fail after 5 seconds, so that a
/// missing response fails the test instead of blocking it. The connection is closed with a reset,
/// which leaves no socket in TIME_WAIT: repeated tests with thousands of connections otherwise used
/// up the ports, and servers failed to start with "address already in use".
class KeepAliveClient {
 public:
  explicit KeepAliveClient(const base::NetworkAddress& address) : connection(Connect(address)) {
    const timeval timeout{5, 0};
    setsockopt(this->connection, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    const linger reset_on_close{1, 0};
    setsockopt(this->connection, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
  }
  ~KeepAliveClient() { close(this->connection); }

  KeepAliveClient(const KeepAliveClient&) = delete;
  KeepAliveClient& operator=(const KeepAliveClient&) = delete;

  bool IsConnected() const { return this->connection >= 0; }

  void SendRequest() const { ::SendRequest(this->connection); }

  /// Returns whether a response with status 200 and an empty body is received.
  bool ReceiveResponse() const {
    std::string received;
    while (received.find("\r\n\r\n") == std::string::npos) {
      char buffer[4096];
      const ssize_t length = read(this->connection, buffer, sizeof(buffer));
      if (length <= 0) {
        return false;
      }
      received.append(buffer, static_cast<size_t>(length));
    }
    return received.rfind("HTTP/1.1 200 ", 0) == 0;
  }

  /// Returns whether the server closes the connection before it sends anything.
  bool IsClosedWithoutResponse() const {
    char byte = 0;
    const ssize_t length = read(this->connection, &byte, 1);
    // The connection is reset if a request arrives after the server has closed it.
    return length == 0 || (length == -1 && errno == ECONNRESET);
  }

 private:
  int connection;
};

}  // namespace

TEST_GROUP(HttpServer) {
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<HttpServer::ResponseCallback> response_callbacks;
  std::vector<uint64_t> request_ids;
  std::vector<uint64_t> disconnected_ids;
  frontend::HttpServerSettings settings;

  void setup() override {
    this->settings.listen_address = base::NetworkAddress("127.0.0.1:0");
    this->settings.thread_count = 1;
  }

  HttpServer::RequestHandler KeepCallbacks() {
    return [this](const HttpRequest& request, const HttpServer::ResponseCallback& respond) {
      std::lock_guard<std::mutex> lock(this->mutex);
      this->response_callbacks.push_back(respond);
      this->request_ids.push_back(request.request_id);
      this->changed.notify_all();
    };
  }

  template <typename Condition>
  void WaitFor(Condition condition) {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait(lock, condition);
  }
};

// Guards against tasks that continue after their caller has closed the connection: the caller may
// submit the job again to another host.
TEST(HttpServer, ReportsACallerThatDisconnectsBeforeItsResponse) {
  HttpServer server(this->settings, this->KeepCallbacks(), [this](uint64_t request_id) {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->disconnected_ids.push_back(request_id);
    this->changed.notify_all();
  });
  CHECK_TRUE(server.Start().has_value());
  const int open_connection = Connect(server.ListenAddress());
  SendRequest(open_connection);
  this->WaitFor([this] { return this->response_callbacks.size() == 1; });
  const int closed_connection = Connect(server.ListenAddress());
  SendRequest(closed_connection);
  this->WaitFor([this] { return this->response_callbacks.size() == 2; });
  close(closed_connection);
  this->WaitFor([this] { return !this->disconnected_ids.empty(); });
  LONGS_EQUAL(1, this->disconnected_ids.size());
  LONGS_EQUAL(this->request_ids[1], this->disconnected_ids[0]);
  for (const HttpServer::ResponseCallback& respond : this->response_callbacks) {
    respond({});
  }
  close(open_connection);
}

// Guards against a request that waits in a stalled process and is handled after its caller has
// closed the connection and sent the request to another host.
TEST(HttpServer, DoesNotHandleARequestWhoseCallerHasDisconnected) {
  bool is_released = false;
  HttpServer server(
      this->settings,
      [&](const HttpRequest& request, const HttpServer::ResponseCallback& respond) {
        std::unique_lock<std::mutex> lock(this->mutex);
        this->request_ids.push_back(request.request_id);
        this->changed.notify_all();
        this->changed.wait(lock, [&is_released] { return is_released; });
        respond({});
      },
      [](uint64_t /*request_id*/) {});
  CHECK_TRUE(server.Start().has_value());
  const int stalled_connection = Connect(server.ListenAddress());
  SendRequest(stalled_connection);
  this->WaitFor([this] { return this->request_ids.size() == 1; });
  const int closed_connection = Connect(server.ListenAddress());
  SendRequest(closed_connection);
  shutdown(closed_connection, SHUT_WR);
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    is_released = true;
    this->changed.notify_all();
  }
  // The server closes the connection once it is done with the request.
  ReadAll(closed_connection);
  LONGS_EQUAL(1, this->request_ids.size());
  close(stalled_connection);
  close(closed_connection);
}

// Guards against callers that stay connected to a host that is stopping.
TEST(HttpServer, ClosesConnectionsAfterTheirNextResponse) {
  HttpServer server(this->settings, this->KeepCallbacks());
  CHECK_TRUE(server.Start().has_value());
  const int connection = Connect(server.ListenAddress());
  SendRequest(connection);
  this->WaitFor([this] { return this->response_callbacks.size() == 1; });
  server.CloseConnectionsAfterResponses();
  this->response_callbacks[0]({});
  const std::string response = ReadAll(connection);
  CHECK(response.find("200 OK") != std::string::npos);
  CHECK(response.find("Connection: close") != std::string::npos);
  close(connection);
}

// Guards against an abort of the process in libmicrohttpd when the server stops listening while its
// threads are busy with requests and new connections: MHD_quiesce_daemon and a busy thread both
// remove the listening socket from the thread's epoll set, and the second removal fails.
TEST(HttpServer, StopsListeningWhileItsThreadsAreBusy) {
  constexpr auto kDuration = std::chrono::milliseconds(1800);
  // Several servers run at once, so that their threads compete for processors.
  constexpr int kServers = 3;
  this->settings.thread_count = 4;
  std::atomic<int> round_count{0};
  std::atomic<int> failed_round_count{0};
  const auto end = std::chrono::steady_clock::now() + kDuration;
  std::vector<std::thread> threads;
  threads.reserve(kServers);
  for (int i = 0; i < kServers; ++i) {
    threads.emplace_back([&] {
      while (std::chrono::steady_clock::now() < end) {
        ++round_count;
        HttpServer server(this->settings,
                          [](const HttpRequest& /*request*/,
                             const HttpServer::ResponseCallback& respond) { respond({}); });
        if (!server.Start()) {
          ++failed_round_count;
          continue;
        }
        const KeepAliveClient client(server.ListenAddress());
        client.SendRequest();
        // The response shows that the server has accepted the connection.
        const bool is_first_request_answered = client.ReceiveResponse();
        client.SendRequest();
        // Each new connection wakes all threads that wait in epoll.
        const KeepAliveClient new_client(server.ListenAddress());
        const KeepAliveClient other_new_client(server.ListenAddress());
        server.StopListening();
        if (!is_first_request_answered || !client.ReceiveResponse()) {
          ++failed_round_count;
        }
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK_TRUE(round_count > 0);
  LONGS_EQUAL(0, failed_round_count);
}

// Guards against callers that hang because a server that has stopped listening neither serves nor
// closes their new connections, and against open connections that it closes with them.
TEST(HttpServer, ClosesOnlyNewConnectionsAfterItStopsListening) {
  std::atomic<int> request_count{0};
  this->settings.thread_count = 4;
  HttpServer server(this->settings, [&](const HttpRequest& /*request*/,
                                        const HttpServer::ResponseCallback& respond) {
    ++request_count;
    respond({});
  });
  CHECK_TRUE(server.Start().has_value());
  const KeepAliveClient open_client(server.ListenAddress());
  open_client.SendRequest();
  // The response shows that the server has accepted the connection.
  CHECK_TRUE(open_client.ReceiveResponse());
  server.StopListening();
  const KeepAliveClient new_client(server.ListenAddress());
  CHECK_TRUE(new_client.IsConnected());
  new_client.SendRequest();
  CHECK_TRUE(new_client.IsClosedWithoutResponse());
  open_client.SendRequest();
  CHECK_TRUE(open_client.ReceiveResponse());
  LONGS_EQUAL(2, request_count);
}
