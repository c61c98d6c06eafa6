#pragma once

#include <mutex>

#include "base/thread_annotations.h"

namespace sapphirecrank::base {

/// A `std::mutex` with annotations for the thread safety analysis. Lock it with `MutexLock`.
class CAPABILITY("mutex") Mutex {
 public:
  /// Blocks until the mutex is held. Precondition: the calling thread doesn't hold it.
  void Lock() ACQUIRE() { this->mutex.lock(); }

  /// Releases the mutex. Precondition: the calling thread holds it.
  void Unlock() RELEASE() { this->mutex.unlock(); }

 private:
  std::mutex mutex;
};

}  // namespace sapphirecrank::base
