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
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "frontend/intake_guard.h"

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

/// Returns false if the server has closed the connection.
bool Send(int connection, const std::string& data) {
  size_t sent = 0;
  while (sent < data.size()) {
    const ssize_t length = send(connection, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
    if (length <= 0) {
      return false;
    }
    sent += static_cast<size_t>(length);
  }
  return true;
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

// Guards against callers that leave a request whose handler then never responds: the request kept
// its connection and its descriptor for good, and the server couldn't stop.
TEST(HttpServer, EndsARequestWhoseCallerDisconnects) {
  this->settings.intake = std::make_shared<frontend::IntakeGuard>(
      limits::IntakeSettings(), [](const limits::IntakeUsage& /*usage*/) {});
  HttpServer server(this->settings, this->KeepCallbacks(), [](uint64_t /*request_id*/) {});
  CHECK_TRUE(server.Start().has_value());
  const int connection = Connect(server.ListenAddress());
  SendRequest(connection);
  this->WaitFor([this] { return this->response_callbacks.size() == 1; });
  close(connection);
  // Returns only if the request has ended.
  server.Stop();
  LONGS_EQUAL(0, this->settings.intake->budget().Usage().connections.value());
  LONGS_EQUAL(0, this->settings.intake->budget().Usage().bytes.value());
  this->response_callbacks[0]({});
}

// Guards against a client that delays a stop for good with a body that it doesn't end.
TEST(HttpServer, StopsWhileABodyIsBeingReceived) {
  HttpServer server(this->settings, this->KeepCallbacks());
  CHECK_TRUE(server.Start().has_value());
  const int connection = Connect(server.ListenAddress());
  Send(connection, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nshort");
  const KeepAliveClient other_client(server.ListenAddress());
  other_client.SendRequest();
  this->WaitFor([this] { return this->response_callbacks.size() == 1; });
  this->response_callbacks[0]({});
  server.Stop();
  STRCMP_EQUAL("", ReadAll(connection).c_str());
  close(connection);
}

// Guards against an announced body far above the limit that is read before it is refused, and
// against a refusal that doesn't say that the request was not run.
TEST(HttpServer, RefusesALargeBodyBeforeItIsSent) {
  this->settings.maximum_body_size = base::ByteCount(1000);
  HttpServer server(this->settings, this->KeepCallbacks());
  CHECK_TRUE(server.Start().has_value());
  const int connection = Connect(server.ListenAddress());
  Send(connection, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 10000\r\n\r\n");
  const std::string response = ReadAll(connection);
  CHECK(response.rfind("HTTP/1.1 413 ", 0) == 0);
  CHECK(response.find("not run") != std::string::npos);
  CHECK_TRUE(this->response_callbacks.empty());
  close(connection);
}

// Guards against a body slightly above the limit whose sender gets a reset instead of the refusal.
TEST(HttpServer, AnswersAfterABodySlightlyAboveTheLimit) {
  this->settings.maximum_body_size = base::ByteCount(1000);
  HttpServer server(this->settings, this->KeepCallbacks());
  CHECK_TRUE(server.Start().has_value());
  for (const std::string headers :
       {"Content-Length: 1001\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n3e9\r\n"}) {
    const int connection = Connect(server.ListenAddress());
    const bool is_chunked = headers[0] == 'T';
    Send(connection, "POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + headers +
                         std::string(1001, 'x') + (is_chunked ? "\r\n0\r\n\r\n" : ""));
    CHECK(ReadAll(connection).rfind("HTTP/1.1 413 ", 0) == 0);
    close(connection);
  }
  CHECK_TRUE(this->response_callbacks.empty());
}

// Guards against a chunked body that never ends and is read for ever.
TEST(HttpServer, ClosesTheConnectionOfABodyWithoutEnd) {
  this->settings.maximum_body_size = base::ByteCount(1000);
  HttpServer server(this->settings, this->KeepCallbacks());
  CHECK_TRUE(server.Start().has_value());
  const int connection = Connect(server.ListenAddress());
  Send(connection, "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string chunk = "1000\r\n" + std::string(4096, 'x') + "\r\n";
  bool is_closed = false;
  // 8 MB, far more than the server drops and the buffers of the sockets hold.
  for (int i = 0; i < 2000 && !is_closed; ++i) {
    is_closed = !Send(connection, chunk);
  }
  CHECK_TRUE(is_closed);
  close(connection);
}

// Guards against a limit from a configuration that is applied only to servers that start later.
TEST(HttpServer, AppliesTheCurrentLimitOfABody) {
  std::atomic<int64_t> limit{100};
  this->settings.current_maximum_body_size = [&limit] { return base::ByteCount(limit); };
  HttpServer server(this->settings,
                    [](const HttpRequest& /*request*/,
                       const HttpServer::ResponseCallback& respond) { respond({}); });
  CHECK_TRUE(server.Start().has_value());
  for (const std::string expected : {"HTTP/1.1 413 ", "HTTP/1.1 200 "}) {
    const int connection = Connect(server.ListenAddress());
    Send(connection,
         "POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 150\r\n\r\n" +
             std::string(150, 'x'));
    CHECK(ReadAll(connection).rfind(expected, 0) == 0);
    close(connection);
    limit = 200;
  }
}

// Guards against bodies that stop short of their end, hold all memory that clients may use, and
// keep ordinary requests out.
TEST(HttpServer, StalledBodiesGiveWayToAnOrdinaryRequest) {
  constexpr int kStalledClients = 20;
  constexpr int kBodySize = 100000;
  limits::IntakeSettings intake_settings;
  intake_settings.maximum_bytes = base::ByteCount(1000000);
  intake_settings.slow_after = std::chrono::milliseconds(20);
  this->settings.intake = std::make_shared<frontend::IntakeGuard>(
      intake_settings, [](const limits::IntakeUsage& /*usage*/) {});
  std::atomic<size_t> handled_size{0};
  HttpServer server(this->settings,
                    [&](const HttpRequest& request, const HttpServer::ResponseCallback& respond) {
                      handled_size = request.body.size();
                      respond({});
                    });
  CHECK_TRUE(server.Start().has_value());
  const std::string head = "POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: " +
                           std::to_string(kBodySize) + "\r\n\r\n";
  std::vector<int> stalled_connections;
  for (int i = 0; i < kStalledClients; ++i) {
    stalled_connections.push_back(Connect(server.ListenAddress()));
    Send(stalled_connections.back(), head + std::string(kBodySize - 1, ' '));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  std::string response;
  // The connection is refused while those that give way are being closed.
  for (int attempt = 0; attempt < 50 && response.rfind("HTTP/1.1 200 ", 0) != 0; ++attempt) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    const int connection = Connect(server.ListenAddress());
    Send(connection, head + std::string(kBodySize, ' '));
    response = ReadAll(connection);
    close(connection);
  }
  CHECK(response.rfind("HTTP/1.1 200 ", 0) == 0);
  LONGS_EQUAL(kBodySize, handled_size);
  const limits::IntakeUsage usage = this->settings.intake->budget().Usage();
  CHECK(usage.bytes <= usage.maximum_bytes);
  CHECK(usage.closed.at(static_cast<size_t>(limits::IntakeReason::kBytes)) > 0);
  for (const int connection : stalled_connections) {
    close(connection);
  }
}
