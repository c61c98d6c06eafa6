#pragma once

#include <functional>
#include <memory>

#include "outbound/http_client_request.h"
#include "outbound/http_client_response.h"
#include "outbound/http_client_settings.h"

namespace sapphirecrank::outbound {

/// HTTP client with one thread that runs libcurl's multi interface.
///
/// Each request is sent at most once: libcurl's automatic resend on a reused connection is
/// prevented. Thread safety: all methods may be called from any thread.
class HttpClient {
 public:
  using CompletionCallback = std::function<void(const HttpClientResponse&)>;

  /// Starts the thread.
  explicit HttpClient(const HttpClientSettings& settings);

  /// Stops as `Stop` does.
  ~HttpClient();

  /// Ends active requests with the verdict "may have run", queued and later ones with "not run",
  /// and waits for the thread. Must not be called concurrently or on the client's thread.
  void Stop();

  /// Sends a request. `on_done` runs exactly once, on the client's thread or, after `Stop`, on the
  /// calling thread; it must not wait.
  void SendRequest(HttpClientRequest request, CompletionCallback on_done);

 private:
  class Impl;

  std::unique_ptr<Impl> impl;
};

}  // namespace sapphirecrank::outbound
