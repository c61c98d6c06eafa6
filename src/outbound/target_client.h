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
/// A call is sent at most once: libcurl's own resend on a reused connection is made impossible.
/// Thread safety: all methods may be called from any thread.
class TargetClient {
 public:
  using CompletionCallback = std::function<void(const dispatch::TargetResponse&)>;

  /// Starts the thread.
  explicit TargetClient(const HttpClientSettings& settings);

  /// Stops as `Stop` does.
  ~TargetClient();

  /// Ends open calls with "may have run" and waits for the thread. Later calls end with "not run".
  /// To be called by one thread, not by the client's.
  void Stop();

  /// Calls a target. `on_done` runs exactly once on the client's thread and must not wait. The
  /// verdict is "not run" only if no connection could be made.
  void StartTask(dispatch::TargetCall call, CompletionCallback on_done);

 private:
  std::unique_ptr<HttpClient> http_client;
};

}  // namespace sapphirecrank::outbound
