#pragma once

#include <functional>
#include <memory>

#include "dispatch/target_call.h"
#include "dispatch/target_response.h"
#include "outbound/http_client_settings.h"

namespace sapphirecrank::outbound {

class HttpClient;

/// Starts tasks on targets over HTTP.
///
/// Each request is sent at most once, see `HttpClient`.
/// Thread safety: all methods may be called from any thread.
class TargetClient {
 public:
  using CompletionCallback = std::function<void(const dispatch::TargetResponse&)>;

  /// Starts the thread.
  explicit TargetClient(const HttpClientSettings& settings);

  /// Stops as `Stop` does.
  ~TargetClient();

  /// Ends active calls with the verdict "may have run", queued and later ones with "not run", and
  /// waits for the thread. Must not be called concurrently or on the client's thread.
  void Stop();

  /// Starts a task on a target. `on_done` runs exactly once, on the client's thread or, after
  /// `Stop`, on the calling thread; it must not wait. The verdict is "not run" only if nothing was
  /// sent.
  void StartTask(dispatch::TargetCall call, CompletionCallback on_done);

 private:
  std::unique_ptr<HttpClient> http_client;
};

}  // namespace sapphirecrank::outbound
