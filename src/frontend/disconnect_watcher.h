#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <thread>

#include "base/mutex.h"
#include "base/thread_annotations.h"

namespace sapphirecrank::frontend {

/// Notices that the other side of a connection has closed it while nobody reads from it.
///
/// Thread safety: all methods may be called from any thread, but `Stop` and the destructor by one.
class DisconnectWatcher {
 public:
  using DisconnectCallback = std::function<void(uint64_t number)>;

  /// Starts the thread on which `on_disconnect` runs, at most once for each number.
  explicit DisconnectWatcher(DisconnectCallback on_hangup);
  ~DisconnectWatcher();

  DisconnectWatcher(const DisconnectWatcher&) = delete;
  DisconnectWatcher& operator=(const DisconnectWatcher&) = delete;

  /// Watches a connection until `Remove`. Precondition: the descriptor stays open until then.
  void AddConnection(int descriptor, uint64_t number);

  /// Stops watching. The hook may still be running when this returns.
  void RemoveConnection(uint64_t number);

  /// Ends the thread. Later calls of `Add` have no effect.
  void Stop();

 private:
  void RunEventLoop();

  DisconnectCallback on_disconnect;
  int epoll_descriptor;
  int wake_descriptor;
  base::Mutex mutex;
  // By number.
  std::map<uint64_t, int> descriptors_by_request GUARDED_BY(mutex);
  std::thread thread;
};

}  // namespace sapphirecrank::frontend
