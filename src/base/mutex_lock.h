#pragma once

#include "base/mutex.h"

namespace sapphirecrank::base {

/// Holds a mutex for the lifetime of this object.
class SCOPED_CAPABILITY MutexLock {
 public:
  /// Blocks until `held` is locked. Precondition: the calling thread doesn't hold it.
  explicit MutexLock(Mutex& held) ACQUIRE(held) : mutex(held) { this->mutex.Lock(); }
  ~MutexLock() RELEASE() { this->mutex.Unlock(); }

  MutexLock(const MutexLock&) = delete;
  MutexLock& operator=(const MutexLock&) = delete;

 private:
  Mutex& mutex;
};

}  // namespace sapphirecrank::base
