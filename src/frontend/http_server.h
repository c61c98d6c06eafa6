#pragma once

#include <functional>
#include <memory>

#include "base/ids.h"
#include "base/result.h"
#include "frontend/http_request.h"
#include "frontend/http_response.h"
#include "frontend/http_server_settings.h"

namespace sapphirecrank::frontend {

/// HTTP server on libmicrohttpd; answers may be given later from another thread.
///
/// Thread safety: all methods may be called from any thread, but `Stop` only once.
class HttpServer {
 public:
  using ResponseCallback = std::function<void(const HttpResponse&)>;
  /// Handles one request. Must call the second argument exactly once, now or later, from any
  /// thread. Runs on a server thread and must not wait.
  using RequestHandler = std::function<void(const HttpRequest&, ResponseCallback)>;

  /// Told the number of a request whose caller closed the connection before the answer, at most
  /// once, after the handler has had the request, and perhaps while the answer is given. Runs on a
  /// thread of the server and must not wait. A request whose caller has left before the handler had
  /// it isn't handled at all.
  using DisconnectCallback = std::function<void(uint64_t)>;

  /// Without `on_disconnect`, a caller that has left is noticed when its answer is sent.
  HttpServer(const HttpServerSettings& settings, RequestHandler handler,
             DisconnectCallback on_disconnect = nullptr);

  /// Stops as `Stop` does.
  ~HttpServer();

  /// Starts to listen. Returns `kUnavailable` for the field "listen" if that fails. Precondition:
  /// called once.
  base::Result<void> Start();

  /// Returns the address in use. Precondition: started.
  base::NetworkAddress ListenAddress() const;

  /// Closes the listening socket; open connections go on.
  void StopListening();

  /// Closes each connection after its next answer, so that callers turn to another host.
  void CloseConnectionsAfterResponses();

  /// Answers what is open with "may have run" and closes all. The handler's later answers are
  /// dropped.
  void AbortRequests();

  /// Waits until each request has its answer, then closes all. Precondition: the handler's open
  /// answers still come.
  void Stop();

 private:
  class Impl;

  std::unique_ptr<Impl> impl;
};

}  // namespace sapphirecrank::frontend
