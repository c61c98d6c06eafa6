#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <thread>

#include "base/mutex.h"
#include "base/thread_annotations.h"

namespace sapphirecrank::frontend {

/// Detects that the remote side has closed a connection while nothing is read from it.
///
/// Thread safety: all methods may be called from any thread, but `Stop` and the destructor only
/// from one thread.
class DisconnectWatcher {
 public:
  using DisconnectCallback = std::function<void(uint64_t request_id)>;

  /// Starts the thread on which `on_disconnect` runs, at most once for each request.
  explicit DisconnectWatcher(DisconnectCallback on_disconnect);
  ~DisconnectWatcher();

  DisconnectWatcher(const DisconnectWatcher&) = delete;
  DisconnectWatcher& operator=(const DisconnectWatcher&) = delete;

  /// Watches the connection of a request until `RemoveConnection`. Precondition: the descriptor
  /// stays open until then.
  void AddConnection(int descriptor, uint64_t request_id);

  /// Stops watching. `on_disconnect` may still be running when this returns.
  void RemoveConnection(uint64_t request_id);

  /// Ends the thread. Connections that are added later aren't watched.
  void Stop();

 private:
  void RunEventLoop();

  DisconnectCallback on_disconnect;
  int epoll_descriptor;
  int wake_descriptor;
  base::Mutex mutex;
  // By request id.
  std::map<uint64_t, int> descriptors_by_request GUARDED_BY(mutex);
  std::thread thread;
};

}  // namespace sapphirecrank::frontend
