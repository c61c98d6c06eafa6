#include "frontend/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <condition_variable>
#include <cstring>
#include <map>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "frontend/disconnect_watcher.h"
#include "frontend/intake_connection.h"
#include "frontend/intake_guard.h"

namespace sapphirecrank::frontend {

using base::ByteCount;
using base::ErrorCode;
using limits::IntakeId;
using limits::IntakeReason;

namespace {

// libmicrohttpd's default, which `limits::IntakeSettings::connection_cost` counts. The headers of a
// request must fit into it.
constexpr size_t kConnectionPoolSize = 32768;
// What a request takes beside its headers and its body.
constexpr size_t kRequestSize = 1024;
// The headers are kept as text in the pool and in the request, with up to as much for map nodes.
constexpr size_t kHeaderCopies = 4;
// A response up to this size is part of the cost of its connection, so that it is never refused.
constexpr size_t kShortResponseSize = 2048;
// A body above the limit is read and dropped up to this size, so that the caller gets the response
// and not a closed connection.
constexpr size_t kMinimumDroppedSize = 262144;
// How long `Stop` waits for requests that are being received and for responses that are being read.
constexpr std::chrono::seconds kStopTimeout(1);

constexpr const char* kBodyTooLargeResponseBody =
    R"({"error":{"code":"too_large","field":"body","message":"the request body is too large",)"
    R"("verdict":"not run"}})";

constexpr const char* kOverloadedResponseBody =
    R"({"error":{"code":"overloaded","field":"","message":"too many requests are under way",)"
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
  IntakeId intake_id;
  std::shared_ptr<IntakeConnection> intake_connection;
  size_t maximum_body_size = 0;
  // From Content-Length; 0 if the request has none.
  size_t announced_body_size = 0;
  // Set if the request is refused. Its body is then dropped.
  std::shared_ptr<const HttpResponse> refusal;
  size_t dropped_size = 0;
  bool was_passed_to_handler = false;
  std::mutex mutex;
  MHD_Connection* connection = nullptr;
  bool has_response = false;
  // Null before the response, after it was sent, and if it is dropped. libmicrohttpd shares it, so
  // that it is freed although the handler may still hold the exchange.
  std::shared_ptr<const HttpResponse> response;
  // The response didn't fit into the budget, and the connection is closed without it.
  bool is_response_dropped = false;
};

/// What belongs to a connection of libmicrohttpd.
struct ConnectionContext {
  std::shared_ptr<IntakeConnection> connection;
  // None if there was no room for the connection, which is then closed.
  std::optional<IntakeId> intake_id;
};

ConnectionContext& ContextOf(MHD_Connection* connection) {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  return *static_cast<ConnectionContext*>(info->socket_context);
}

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

using ResponsePointer = std::shared_ptr<const HttpResponse>;

void ReleaseResponse(void* response) { delete static_cast<ResponsePointer*>(response); }

/// Sends a response, whose body isn't copied.
MHD_Result QueueResponse(MHD_Connection* connection, const ResponsePointer& response_pointer,
                         bool closes_connection) {
  const HttpResponse& response = *response_pointer;
  MHD_Response* mhd_response = MHD_create_response_from_buffer_with_free_callback_cls(
      response.body.size(), const_cast<char*>(response.body.data()), &ReleaseResponse,
      new ResponsePointer(response_pointer));
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

HttpResponse BodyTooLargeResponse() {
  HttpResponse response;
  response.status = 413;
  response.body = kBodyTooLargeResponseBody;
  return response;
}

HttpResponse OverloadedResponse() {
  HttpResponse response = UnavailableResponse(kOverloadedResponseBody);
  response.headers["Retry-After"] = "1";
  return response;
}

/// Returns the size of the body that the headers announce, or 0. A size that can't be represented
/// counts as the highest one.
size_t AnnouncedBodySize(const HttpRequest& request) {
  const auto header = request.headers.find("content-length");
  if (header == request.headers.end()) {
    return 0;
  }
  const std::string& text = header->second;
  size_t size = 0;
  const auto read = std::from_chars(text.data(), text.data() + text.size(), size);
  return read.ec == std::errc::result_out_of_range ? SIZE_MAX : size;
}

/// Returns the limits of a server that has them for itself.
limits::IntakeSettings MakeIntakeSettings(const HttpServerSettings& settings) {
  limits::IntakeSettings intake_settings;
  intake_settings.maximum_connections = settings.maximum_connections;
  intake_settings.idle_timeout = settings.idle_timeout;
  // Connections may use three quarters of the bytes.
  const int64_t connection_bytes =
      settings.maximum_connections.value() * intake_settings.connection_cost.value();
  intake_settings.maximum_bytes =
      std::max(intake_settings.maximum_bytes, ByteCount(connection_bytes / 3 * 4 + 4));
  return intake_settings;
}

ByteCount ToByteCount(size_t size) { return ByteCount(static_cast<int64_t>(size)); }

int ConnectionDescriptor(MHD_Connection* connection) {
  return MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
}

bool HasCallerDisconnected(int descriptor) {
  pollfd poll_descriptor{descriptor, POLLRDHUP, 0};
  return poll(&poll_descriptor, 1, 0) > 0;
}

std::string AddressText(const sockaddr* address) {
  char text[INET_ADDRSTRLEN] = "";
  if (address->sa_family == AF_INET) {
    const auto* ip_address = reinterpret_cast<const sockaddr_in*>(address);
    inet_ntop(AF_INET, &ip_address->sin_addr, text, sizeof(text));
  }
  return text;
}

std::string RemoteAddress(MHD_Connection* connection) {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  return info == nullptr ? "" : AddressText(info->client_addr);
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
      : settings(settings), request_handler(std::move(handler)), intake(settings.intake) {
    if (this->intake == nullptr) {
      this->intake = std::make_shared<IntakeGuard>(MakeIntakeSettings(settings),
                                                   [](const limits::IntakeUsage& /*usage*/) {});
    }
    if (on_disconnect) {
      this->disconnect_watcher = std::make_unique<DisconnectWatcher>(
          [this, on_disconnect = std::move(on_disconnect)](uint64_t request_id) {
            on_disconnect(request_id);
            this->EndDisconnectedExchange(request_id);
          });
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
  static void OnConnectionChange(void* self, MHD_Connection* connection, void** context,
                                 MHD_ConnectionNotificationCode code);
  static void* OnRequestLine(void* self, const char* uri, MHD_Connection* connection);
  static MHD_Result OnAccess(void* self, MHD_Connection* connection, const char* url,
                             const char* method, const char* version, const char* data,
                             size_t* size, void** context);
  static void OnCompleted(void* self, MHD_Connection* connection, void** context,
                          MHD_RequestTerminationCode code);
  MHD_Result BeginExchange(MHD_Connection* connection, const char* url, const char* method,
                           void** context);
  MHD_Result ReceiveBody(Exchange& exchange, const char* data, size_t* size);
  void RefuseExchange(Exchange& exchange, HttpResponse refusal);
  MHD_Result HandleExchange(MHD_Connection* connection, const ExchangePointer& exchange);
  void CompleteExchange(const ExchangePointer& exchange, const HttpResponse& response);
  void EndDisconnectedExchange(uint64_t request_id);

  HttpServerSettings settings;
  RequestHandler request_handler;
  std::shared_ptr<IntakeGuard> intake;
  MHD_Daemon* daemon = nullptr;
  std::mutex mutex;
  std::condition_variable exchanges_changed;
  size_t open_exchange_count = 0;
  // Exchanges that were passed to the handler and not resumed since then.
  size_t suspended_exchange_count = 0;
  bool is_aborted = false;
  // Set once no further exchange may be suspended, because libmicrohttpd is being stopped.
  bool is_closing = false;
  // By request id: exchanges that were passed to the handler and that libmicrohttpd has not
  // completed.
  std::map<uint64_t, ExchangePointer> handled_exchanges;
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
      &Impl::OnCompleted, this, MHD_OPTION_NOTIFY_CONNECTION, &Impl::OnConnectionChange, this,
      MHD_OPTION_URI_LOG_CALLBACK, &Impl::OnRequestLine, this, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      kConnectionPoolSize, MHD_OPTION_SOCK_ADDR, &*address, MHD_OPTION_THREAD_POOL_SIZE,
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
    open_exchanges.reserve(this->handled_exchanges.size());
    for (const auto& [request_id, exchange] : this->handled_exchanges) {
      open_exchanges.push_back(exchange);
    }
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
    const auto all_resumed = [this] { return this->suspended_exchange_count == 0; };
    this->exchanges_changed.wait(lock, all_resumed);
    // Clients that don't send the rest of their request, or don't read their response, can't delay
    // the stop further.
    this->exchanges_changed.wait_for(lock, kStopTimeout,
                                     [this] { return this->open_exchange_count == 0; });
    this->exchanges_changed.wait(lock, all_resumed);
    this->is_closing = true;
  }
  if (this->disconnect_watcher != nullptr) {
    this->disconnect_watcher->Stop();
  }
  MHD_stop_daemon(this->daemon);
  this->daemon = nullptr;
}

MHD_Result HttpServer::Impl::OnConnection(void* self, const sockaddr* address,
                                          socklen_t /*address_length*/) {
  auto* server = static_cast<Impl*>(self);
  // Refused here, a connection takes a descriptor only for a moment.
  return server->has_stopped_listening || !server->intake->budget().MakeRoomForConnection(
                                              limits::CallerAddress(AddressText(address)))
             ? MHD_NO
             : MHD_YES;
}

void HttpServer::Impl::OnConnectionChange(void* self, MHD_Connection* connection, void** context,
                                          MHD_ConnectionNotificationCode code) {
  auto* server = static_cast<Impl*>(self);
  if (code == MHD_CONNECTION_NOTIFY_STARTED) {
    auto* started = new ConnectionContext;
    started->connection = std::make_shared<IntakeConnection>(ConnectionDescriptor(connection));
    started->intake_id = server->intake->AddConnection(
        started->connection, limits::CallerAddress(RemoteAddress(connection)));
    if (!started->intake_id) {
      started->connection->Close();
    }
    *context = started;
    return;
  }
  // libmicrohttpd closes the descriptor after this call.
  auto* closed = static_cast<ConnectionContext*>(*context);
  closed->connection->OnClosed();
  if (closed->intake_id) {
    server->intake->RemoveConnection(*closed->intake_id);
  }
  delete closed;
  *context = nullptr;
}

void* HttpServer::Impl::OnRequestLine(void* self, const char* /*uri*/, MHD_Connection* connection) {
  const ConnectionContext& context = ContextOf(connection);
  if (context.intake_id) {
    static_cast<Impl*>(self)->intake->budget().BeginHeaders(*context.intake_id);
  }
  // The first value of the context in `OnAccess`.
  return nullptr;
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
  if (!exchange->was_passed_to_handler && !exchange->refusal) {
    return server->HandleExchange(connection, exchange);
  }
  if (exchange->refusal) {
    server->intake->budget().BeginResponse(exchange->intake_id, ByteCount(0));
    return QueueResponse(connection, exchange->refusal, server->closes_after_response);
  }
  std::lock_guard<std::mutex> lock(exchange->mutex);
  if (exchange->is_response_dropped) {
    return MHD_NO;
  }
  return exchange->response
             ? QueueResponse(connection, exchange->response, server->closes_after_response)
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
    // The handler may hold the exchange for longer, by its response callback.
    (*exchange_pointer)->response.reset();
    std::string().swap((*exchange_pointer)->request.body);
  }
  const ExchangePointer exchange = *exchange_pointer;
  delete exchange_pointer;
  *context = nullptr;
  exchange->intake_connection->DropBody();
  server->intake->budget().EndRequest(exchange->intake_id);
  std::lock_guard<std::mutex> lock(server->mutex);
  server->handled_exchanges.erase(exchange->request.request_id);
  --server->open_exchange_count;
  server->exchanges_changed.notify_all();
}

MHD_Result HttpServer::Impl::BeginExchange(MHD_Connection* connection, const char* url,
                                           const char* method, void** context) {
  const ConnectionContext& connection_context = ContextOf(connection);
  if (!connection_context.intake_id) {
    return MHD_NO;
  }
  auto exchange = std::make_shared<Exchange>();
  exchange->intake_id = *connection_context.intake_id;
  exchange->intake_connection = connection_context.connection;
  exchange->request.request_id = this->next_request_id++;
  exchange->request.method = method;
  exchange->request.path = url;
  exchange->request.remote_address = RemoteAddress(connection);
  MHD_get_connection_values(connection, MHD_HEADER_KIND, &AddHeader, &exchange->request);
  MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &AddQueryParameter,
                            &exchange->request);
  exchange->announced_body_size = AnnouncedBodySize(exchange->request);
  ByteCount maximum_body_size = this->settings.maximum_body_size;
  if (this->settings.current_maximum_body_size) {
    maximum_body_size = std::min(maximum_body_size, this->settings.current_maximum_body_size());
  }
  exchange->maximum_body_size = static_cast<size_t>(maximum_body_size.value());
  const size_t header_size =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE)->header_size;
  const bool has_room = this->intake->budget().BeginBody(
      exchange->intake_id, ToByteCount(kRequestSize + kHeaderCopies * header_size));
  const bool is_closing = !has_room && this->intake->budget().IsClosing(exchange->intake_id);
  *context = new ExchangePointer(exchange);
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    ++this->open_exchange_count;
  }
  if (is_closing) {
    return MHD_NO;
  }
  if (!has_room) {
    this->RefuseExchange(*exchange, OverloadedResponse());
  } else if (exchange->announced_body_size > exchange->maximum_body_size) {
    this->intake->budget().CountRefusal(IntakeReason::kBodySize);
    this->RefuseExchange(*exchange, BodyTooLargeResponse());
    if (exchange->announced_body_size > 2 * exchange->maximum_body_size) {
      // The body isn't read. libmicrohttpd closes the connection after the response.
      this->intake->budget().BeginResponse(exchange->intake_id, ByteCount(0));
      return QueueResponse(connection, exchange->refusal, true);
    }
  }
  return MHD_YES;
}

MHD_Result HttpServer::Impl::ReceiveBody(Exchange& exchange, const char* data, size_t* size) {
  limits::IntakeBudget& budget = this->intake->budget();
  IntakeConnection& connection = *exchange.intake_connection;
  const size_t received = *size;
  *size = 0;
  if (!exchange.refusal && connection.BodySize() + received > exchange.maximum_body_size) {
    budget.CountRefusal(IntakeReason::kBodySize);
    this->RefuseExchange(exchange, BodyTooLargeResponse());
  }
  if (!exchange.refusal) {
    const size_t reserved = connection.BytesToReserve(received, exchange.announced_body_size);
    if (budget.ReceiveBody(exchange.intake_id, ToByteCount(received), ToByteCount(reserved))) {
      return connection.Append(data, received, exchange.announced_body_size) ? MHD_YES : MHD_NO;
    }
    if (budget.IsClosing(exchange.intake_id)) {
      return MHD_NO;
    }
    this->RefuseExchange(exchange, OverloadedResponse());
  } else {
    budget.ReceiveBody(exchange.intake_id, ToByteCount(received), ByteCount(0));
  }
  exchange.dropped_size += received;
  return exchange.dropped_size > std::max(exchange.maximum_body_size, kMinimumDroppedSize)
             ? MHD_NO
             : MHD_YES;
}

void HttpServer::Impl::RefuseExchange(Exchange& exchange, HttpResponse refusal) {
  exchange.refusal = std::make_shared<const HttpResponse>(std::move(refusal));
  const size_t dropped = exchange.intake_connection->DropBody();
  this->intake->budget().Release(exchange.intake_id, ToByteCount(dropped));
}

MHD_Result HttpServer::Impl::HandleExchange(MHD_Connection* connection,
                                            const ExchangePointer& exchange) {
  limits::IntakeBudget& budget = this->intake->budget();
  // The blocks of the body and the body are both in memory for a moment, and then the body and its
  // document.
  const size_t document_size = exchange->intake_connection->DocumentSize();
  const ByteCount handler_bytes =
      ToByteCount(document_size + exchange->intake_connection->BodySize());
  if (handler_bytes.value() > budget.Usage().maximum_bytes.value() / 4 * 3) {
    // It would never fit beside its own body and other connections.
    budget.CountRefusal(IntakeReason::kBodySize);
    this->RefuseExchange(*exchange, BodyTooLargeResponse());
  } else if (!budget.BeginHandling(exchange->intake_id, handler_bytes)) {
    if (budget.IsClosing(exchange->intake_id)) {
      return MHD_NO;
    }
    this->RefuseExchange(*exchange, OverloadedResponse());
  }
  if (exchange->refusal) {
    budget.BeginResponse(exchange->intake_id, ByteCount(0));
    return QueueResponse(connection, exchange->refusal, this->closes_after_response);
  }
  exchange->request.body = exchange->intake_connection->TakeBody();
  exchange->was_passed_to_handler = true;
  exchange->connection = connection;
  bool was_aborted = false;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->is_closing) {
      return MHD_NO;
    }
    ++this->suspended_exchange_count;
    this->handled_exchanges.emplace(exchange->request.request_id, exchange);
    was_aborted = this->is_aborted;
  }
  MHD_suspend_connection(connection);
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
  if (!this->settings.keeps_decoded_bodies) {
    budget.Release(exchange->intake_id, handler_bytes);
  }
  // The connection is watched only after the handler was called, so that the handler knows each
  // request that is reported as disconnected.
  std::lock_guard<std::mutex> lock(exchange->mutex);
  if (this->disconnect_watcher != nullptr && !exchange->has_response) {
    this->disconnect_watcher->AddConnection(ConnectionDescriptor(connection),
                                            exchange->request.request_id);
  }
  return MHD_YES;
}

void HttpServer::Impl::CompleteExchange(const ExchangePointer& exchange,
                                        const HttpResponse& response) {
  std::lock_guard<std::mutex> lock(exchange->mutex);
  if (exchange->has_response) {
    return;
  }
  exchange->has_response = true;
  const size_t size = response.body.size();
  const size_t charged_size = size > kShortResponseSize ? size - kShortResponseSize : 0;
  exchange->is_response_dropped =
      !this->intake->budget().BeginResponse(exchange->intake_id, ToByteCount(charged_size));
  if (!exchange->is_response_dropped) {
    exchange->response = std::make_shared<const HttpResponse>(response);
  }
  if (exchange->connection != nullptr) {
    if (this->disconnect_watcher != nullptr) {
      this->disconnect_watcher->RemoveConnection(exchange->request.request_id);
    }
    MHD_resume_connection(exchange->connection);
    // `OnCompleted` waits for the lock of the exchange, so that the server still exists.
    std::lock_guard<std::mutex> server_lock(this->mutex);
    --this->suspended_exchange_count;
    this->exchanges_changed.notify_all();
  }
}

void HttpServer::Impl::EndDisconnectedExchange(uint64_t request_id) {
  ExchangePointer exchange;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->handled_exchanges.find(request_id);
    if (found == this->handled_exchanges.end()) {
      return;
    }
    exchange = found->second;
  }
  // Nobody reads the response. It ends the exchange, which otherwise kept its connection and its
  // descriptor until the handler responds, which it may never do for a caller that has left.
  this->CompleteExchange(exchange, UnavailableResponse(kAbortedResponseBody));
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
