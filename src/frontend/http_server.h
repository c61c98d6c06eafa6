#pragma once

#include <functional>
#include <memory>

#include "base/ids.h"
#include "base/result.h"
#include "frontend/http_request.h"
#include "frontend/http_response.h"
#include "frontend/http_server_settings.h"

namespace sapphirecrank::frontend {

/// HTTP server on libmicrohttpd. Responses may be given later and from another thread.
///
/// What clients have under way is limited by an `IntakeGuard`. Requests that don't fit are refused
/// with status 413 or 503 and the verdict "not run", or their connection is closed.
///
/// Thread safety: all methods may be called from any thread, but `Stop`, `AbortRequests` and the
/// destructor not concurrently with each other.
class HttpServer {
 public:
  using ResponseCallback = std::function<void(const HttpResponse&)>;
  /// Handles one request. Must call the callback exactly once, at once or later, from any thread.
  /// Runs on a thread of the server and must not wait. The request's body is valid until the
  /// handler returns.
  using RequestHandler = std::function<void(const HttpRequest&, ResponseCallback)>;

  /// Called with the id of a request whose caller closed the connection before the response: at
  /// most once for each request, after the handler was called, and possibly while the response
  /// callback runs. Runs on a thread of the server and must not wait. A request whose caller
  /// disconnected before the handler was called isn't handled at all. The request has ended when
  /// the callback returns; a later response is dropped.
  using DisconnectCallback = std::function<void(uint64_t)>;

  /// Without `on_disconnect`, a disconnected caller is noticed only when its response is sent.
  HttpServer(const HttpServerSettings& settings, RequestHandler handler,
             DisconnectCallback on_disconnect = nullptr);

  /// Stops as `Stop` does.
  ~HttpServer();

  /// Starts to listen. Errors name the field "listen": `kInvalidArgument` if the address is
  /// malformed, `kUnavailable` if the server can't listen on it. Precondition: called once.
  base::Result<void> Start();

  /// Returns the address with the port that is in use. Precondition: started.
  base::NetworkAddress ListenAddress() const;

  /// Closes each new connection at once, without a response; open connections stay open. The
  /// listening socket is closed by `Stop`.
  void StopListening();

  /// Closes each connection after its next response, so that callers connect to another host.
  void CloseConnectionsAfterResponses();

  /// Ends all open requests with an error whose verdict is "may have run", and stops as `Stop`
  /// does. Later responses of the handler are dropped.
  void AbortRequests();

  /// Stops listening, waits until each request that was passed to the handler has been answered,
  /// and up to a second longer for clients that are sending a request or reading a response. Then
  /// closes all connections. Precondition: the handler's outstanding responses still come.
  void Stop();

 private:
  class Impl;

  std::unique_ptr<Impl> impl;
};

}  // namespace sapphirecrank::frontend
