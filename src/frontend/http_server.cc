#include "frontend/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstring>
#include <mutex>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "frontend/disconnect_watcher.h"

namespace sapphirecrank::frontend {

using base::ErrorCode;

namespace {

constexpr const char* kBodyTooLargeResponseBody =
    R"({"error":{"code":"too_large","field":"body","message":"the request body is too large",)"
    R"("verdict":"not run"}})";

constexpr const char* kCallerDisconnectedResponseBody =
    R"({"error":{"code":"cancelled","field":"","message":"the caller closed the connection",)"
    R"("verdict":"not run"}})";

constexpr const char* kAbortedResponseBody =
    R"({"error":{"code":"shutting_down","field":"","message":"the entry host stopped",)"
    R"("verdict":"may have run"}})";

/// One request from its first byte to its response. Shared with the handler's response callback.
struct Exchange {
  HttpRequest request;
  bool is_body_too_large = false;
  bool was_passed_to_handler = false;
  std::mutex mutex;
  MHD_Connection* connection = nullptr;
  std::optional<HttpResponse> response;
};

MHD_Result AddQueryParameter(void* user, MHD_ValueKind /*kind*/, const char* name,
                             const char* value) {
  auto* request = static_cast<HttpRequest*>(user);
  request->query_parameters[name] = value == nullptr ? "" : value;
  return MHD_YES;
}

MHD_Result AddHeader(void* user, MHD_ValueKind /*kind*/, const char* name, const char* value) {
  auto* request = static_cast<HttpRequest*>(user);
  std::string lower_case_name = name;
  std::transform(lower_case_name.begin(), lower_case_name.end(), lower_case_name.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  request->headers[lower_case_name] = value == nullptr ? "" : value;
  return MHD_YES;
}

MHD_Result QueueResponse(MHD_Connection* connection, const HttpResponse& response,
                         bool closes_connection) {
  MHD_Response* mhd_response = MHD_create_response_from_buffer(
      response.body.size(), const_cast<char*>(response.body.data()), MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(mhd_response, MHD_HTTP_HEADER_CONTENT_TYPE,
                          response.content_type.c_str());
  if (closes_connection) {
    MHD_add_response_header(mhd_response, MHD_HTTP_HEADER_CONNECTION, "close");
  }
  for (const auto& [name, value] : response.headers) {
    MHD_add_response_header(mhd_response, name.c_str(), value.c_str());
  }
  const MHD_Result result =
      MHD_queue_response(connection, static_cast<unsigned>(response.status), mhd_response);
  MHD_destroy_response(mhd_response);
  return result;
}

HttpResponse UnavailableResponse(const char* body) {
  HttpResponse response;
  response.status = 503;
  response.body = body;
  return response;
}

int ConnectionDescriptor(MHD_Connection* connection) {
  return MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
}

bool HasCallerDisconnected(int descriptor) {
  pollfd poll_descriptor{descriptor, POLLRDHUP, 0};
  return poll(&poll_descriptor, 1, 0) > 0;
}

std::string RemoteAddress(MHD_Connection* connection) {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  char text[INET_ADDRSTRLEN] = "";
  if (info != nullptr && info->client_addr->sa_family == AF_INET) {
    const auto* address = reinterpret_cast<const sockaddr_in*>(info->client_addr);
    inet_ntop(AF_INET, &address->sin_addr, text, sizeof(text));
  }
  return text;
}

base::Result<sockaddr_in> ParseAddress(const std::string& text) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos ||
      inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1) {
    return base::MakeErrorResult(ErrorCode::kInvalidArgument,
                                 "'" + text + "' is not an IPv4 address and port", "listen");
  }
  address.sin_port = htons(static_cast<uint16_t>(std::atoi(text.c_str() + colon + 1)));
  return address;
}

}  // namespace

class HttpServer::Impl {
 public:
  Impl(const HttpServerSettings& settings, RequestHandler handler, DisconnectCallback on_disconnect)
      : settings(settings), request_handler(std::move(handler)) {
    if (on_disconnect) {
      this->disconnect_watcher = std::make_unique<DisconnectWatcher>(std::move(on_disconnect));
    }
  }
  ~Impl() { this->Stop(); }

  base::Result<void> Start();
  base::NetworkAddress ListenAddress() const;
  void StopListening() { this->has_stopped_listening = true; }
  void CloseConnectionsAfterResponses() { this->closes_after_response = true; }
  void AbortRequests();
  void Stop();

 private:
  using ExchangePointer = std::shared_ptr<Exchange>;

  static MHD_Result OnConnection(void* self, const sockaddr* address, socklen_t address_length);
  static MHD_Result OnAccess(void* self, MHD_Connection* connection, const char* url,
                             const char* method, const char* version, const char* data,
                             size_t* size, void** context);
  static void OnCompleted(void* self, MHD_Connection* connection, void** context,
                          MHD_RequestTerminationCode code);
  MHD_Result BeginExchange(MHD_Connection* connection, const char* url, const char* method,
                           void** context);
  MHD_Result ReceiveBody(Exchange& exchange, const char* data, size_t* size) const;
  MHD_Result HandleExchange(MHD_Connection* connection, const ExchangePointer& exchange);
  void CompleteExchange(const ExchangePointer& exchange, const HttpResponse& response);

  HttpServerSettings settings;
  RequestHandler request_handler;
  MHD_Daemon* daemon = nullptr;
  std::mutex mutex;
  std::condition_variable all_exchanges_ended;
  size_t open_exchange_count = 0;
  bool is_aborted = false;
  // Exchanges whose request was received completely and has not been completed by libmicrohttpd.
  std::set<ExchangePointer> suspended_exchanges;
  std::atomic<uint64_t> next_request_id{1};
  // Makes `OnConnection` reject new connections. `MHD_quiesce_daemon` isn't used: both that
  // function and a busy thread of the pool remove the listening socket from the thread's epoll set,
  // and libmicrohttpd aborts the process when the second removal fails.
  std::atomic<bool> has_stopped_listening{false};
  std::atomic<bool> closes_after_response{false};
  // Null if there is no disconnect callback.
  std::unique_ptr<DisconnectWatcher> disconnect_watcher;
};

base::Result<void> HttpServer::Impl::Start() {
  const auto address = ParseAddress(this->settings.listen_address.value());
  if (!address) {
    return tl::make_unexpected(address.error());
  }
  const auto idle_seconds =
      std::chrono::duration_cast<std::chrono::seconds>(this->settings.idle_timeout).count();
  this->daemon = MHD_start_daemon(
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC, 0,
      &Impl::OnConnection, this, &Impl::OnAccess, this, MHD_OPTION_NOTIFY_COMPLETED,
      &Impl::OnCompleted, this, MHD_OPTION_SOCK_ADDR, &*address, MHD_OPTION_THREAD_POOL_SIZE,
      static_cast<unsigned>(this->settings.thread_count), MHD_OPTION_CONNECTION_LIMIT,
      static_cast<unsigned>(this->settings.maximum_connections.value()),
      MHD_OPTION_PER_IP_CONNECTION_LIMIT,
      static_cast<unsigned>(this->settings.maximum_connections_per_address.value()),
      MHD_OPTION_CONNECTION_TIMEOUT, static_cast<unsigned>(idle_seconds),
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
  if (this->daemon == nullptr) {
    return base::MakeErrorResult(
        ErrorCode::kUnavailable,
        "can't listen on " + this->settings.listen_address.value() + ": " + std::strerror(errno),
        "listen");
  }
  return {};
}

base::NetworkAddress HttpServer::Impl::ListenAddress() const {
  const std::string& listen = this->settings.listen_address.value();
  const MHD_DaemonInfo* info = MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_BIND_PORT);
  return base::NetworkAddress(listen.substr(0, listen.rfind(':') + 1) + std::to_string(info->port));
}

void HttpServer::Impl::AbortRequests() {
  if (this->daemon == nullptr) {
    return;
  }
  this->StopListening();
  std::vector<ExchangePointer> open_exchanges;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->is_aborted = true;
    open_exchanges.assign(this->suspended_exchanges.begin(), this->suspended_exchanges.end());
  }
  for (const ExchangePointer& exchange : open_exchanges) {
    CompleteExchange(exchange, UnavailableResponse(kAbortedResponseBody));
  }
  this->Stop();
}

void HttpServer::Impl::Stop() {
  if (this->daemon == nullptr) {
    return;
  }
  this->StopListening();
  {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->all_exchanges_ended.wait(lock, [this] { return this->open_exchange_count == 0; });
  }
  if (this->disconnect_watcher != nullptr) {
    this->disconnect_watcher->Stop();
  }
  MHD_stop_daemon(this->daemon);
  this->daemon = nullptr;
}

MHD_Result HttpServer::Impl::OnConnection(void* self, const sockaddr* /*address*/,
                                          socklen_t /*address_length*/) {
  return static_cast<Impl*>(self)->has_stopped_listening ? MHD_NO : MHD_YES;
}

MHD_Result HttpServer::Impl::OnAccess(void* self, MHD_Connection* connection, const char* url,
                                      const char* method, const char* /*version*/, const char* data,
                                      size_t* size, void** context) {
  auto* server = static_cast<Impl*>(self);
  if (*context == nullptr) {
    return server->BeginExchange(connection, url, method, context);
  }
  const ExchangePointer exchange = *static_cast<ExchangePointer*>(*context);
  if (*size > 0) {
    return server->ReceiveBody(*exchange, data, size);
  }
  if (exchange->is_body_too_large) {
    HttpResponse response;
    response.status = 413;
    response.body = kBodyTooLargeResponseBody;
    return QueueResponse(connection, response, server->closes_after_response);
  }
  if (!exchange->was_passed_to_handler) {
    return server->HandleExchange(connection, exchange);
  }
  std::lock_guard<std::mutex> lock(exchange->mutex);
  return exchange->response
             ? QueueResponse(connection, *exchange->response, server->closes_after_response)
             : MHD_YES;
}

void HttpServer::Impl::OnCompleted(void* self, MHD_Connection* /*connection*/, void** context,
                                   MHD_RequestTerminationCode /*code*/) {
  auto* server = static_cast<Impl*>(self);
  auto* exchange_pointer = static_cast<ExchangePointer*>(*context);
  if (exchange_pointer == nullptr) {
    return;
  }
  {
    std::lock_guard<std::mutex> lock((*exchange_pointer)->mutex);
    (*exchange_pointer)->connection = nullptr;
  }
  const ExchangePointer exchange = *exchange_pointer;
  delete exchange_pointer;
  *context = nullptr;
  std::lock_guard<std::mutex> lock(server->mutex);
  server->suspended_exchanges.erase(exchange);
  --server->open_exchange_count;
  server->all_exchanges_ended.notify_all();
}

MHD_Result HttpServer::Impl::BeginExchange(MHD_Connection* connection, const char* url,
                                           const char* method, void** context) {
  auto exchange = std::make_shared<Exchange>();
  exchange->request.request_id = this->next_request_id++;
  exchange->request.method = method;
  exchange->request.path = url;
  exchange->request.remote_address = RemoteAddress(connection);
  MHD_get_connection_values(connection, MHD_HEADER_KIND, &AddHeader, &exchange->request);
  MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &AddQueryParameter,
                            &exchange->request);
  *context = new ExchangePointer(std::move(exchange));
  std::lock_guard<std::mutex> lock(this->mutex);
  ++this->open_exchange_count;
  return MHD_YES;
}

MHD_Result HttpServer::Impl::ReceiveBody(Exchange& exchange, const char* data, size_t* size) const {
  const auto limit = static_cast<size_t>(this->settings.maximum_body_size.value());
  if (exchange.request.body.size() + *size > limit) {
    // The rest is read and dropped, so that the caller gets the response and not a closed
    // connection.
    exchange.is_body_too_large = true;
    exchange.request.body.clear();
  }
  if (!exchange.is_body_too_large) {
    exchange.request.body.append(data, *size);
  }
  *size = 0;
  return MHD_YES;
}

MHD_Result HttpServer::Impl::HandleExchange(MHD_Connection* connection,
                                            const ExchangePointer& exchange) {
  exchange->was_passed_to_handler = true;
  exchange->connection = connection;
  MHD_suspend_connection(connection);
  bool was_aborted = false;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->suspended_exchanges.insert(exchange);
    was_aborted = this->is_aborted;
  }
  if (was_aborted) {
    CompleteExchange(exchange, UnavailableResponse(kAbortedResponseBody));
    return MHD_YES;
  }
  // While this process was stalled, the caller may have disconnected and sent the request to
  // another host.
  if (this->disconnect_watcher != nullptr &&
      HasCallerDisconnected(ConnectionDescriptor(connection))) {
    this->CompleteExchange(exchange, UnavailableResponse(kCallerDisconnectedResponseBody));
    return MHD_YES;
  }
  this->request_handler(exchange->request, [this, exchange](const HttpResponse& response) {
    this->CompleteExchange(exchange, response);
  });
  // The connection is watched only after the handler was called, so that the handler knows each
  // request that is reported as disconnected.
  std::lock_guard<std::mutex> lock(exchange->mutex);
  if (this->disconnect_watcher != nullptr && !exchange->response) {
    this->disconnect_watcher->AddConnection(ConnectionDescriptor(connection),
                                            exchange->request.request_id);
  }
  return MHD_YES;
}

void HttpServer::Impl::CompleteExchange(const ExchangePointer& exchange,
                                        const HttpResponse& response) {
  std::lock_guard<std::mutex> lock(exchange->mutex);
  if (exchange->response) {
    return;
  }
  exchange->response = response;
  if (exchange->connection != nullptr) {
    if (this->disconnect_watcher != nullptr) {
      this->disconnect_watcher->RemoveConnection(exchange->request.request_id);
    }
    MHD_resume_connection(exchange->connection);
  }
}

HttpServer::HttpServer(const HttpServerSettings& settings, RequestHandler handler,
                       DisconnectCallback on_disconnect)
    : impl(std::make_unique<Impl>(settings, std::move(handler), std::move(on_disconnect))) {}

HttpServer::~HttpServer() = default;

base::Result<void> HttpServer::Start() { return this->impl->Start(); }

base::NetworkAddress HttpServer::ListenAddress() const { return this->impl->ListenAddress(); }

void HttpServer::AbortRequests() { this->impl->AbortRequests(); }

void HttpServer::StopListening() { this->impl->StopListening(); }

void HttpServer::CloseConnectionsAfterResponses() { this->impl->CloseConnectionsAfterResponses(); }

void HttpServer::Stop() { this->impl->Stop(); }

}  // namespace sapphirecrank::frontend
