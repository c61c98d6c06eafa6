#pragma once

#include <functional>
#include <memory>

#include "outbound/http_client_request.h"
#include "outbound/http_client_response.h"
#include "outbound/http_client_settings.h"

namespace sapphirecrank::outbound {

/// Makes HTTP calls with one thread that runs libcurl's multi interface.
///
/// A call is sent at most once: libcurl's own resend on a reused connection is made impossible.
/// Thread safety: all methods may be called from any thread.
class HttpClient {
 public:
  using CompletionCallback = std::function<void(const HttpClientResponse&)>;

  /// Starts the thread.
  explicit HttpClient(const HttpClientSettings& settings);

  /// Stops as `Stop` does.
  ~HttpClient();

  /// Ends open calls with "may have run" and waits for the thread. Later calls end with "not run".
  /// To be called by one thread, not by the client's.
  void Stop();

  /// Sends a call. `on_done` runs exactly once on the client's thread and must not wait.
  void SendRequest(HttpClientRequest call, CompletionCallback on_done);

 private:
  class Impl;

  std::unique_ptr<Impl> impl;
};

}  // namespace sapphirecrank::outbound
