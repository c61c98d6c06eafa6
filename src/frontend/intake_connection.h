#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "base/mutex.h"
#include "base/thread_annotations.h"

namespace sapphirecrank::frontend {

/// An open connection of a client, with the body that is being received on it.
///
/// The body is kept in blocks, so that it takes little more memory than its bytes: a string that
/// grows takes up to twice that, and leaves smaller free blocks behind.
///
/// Thread safety: all methods may be called from any thread.
class IntakeConnection {
 public:
  /// Precondition: `descriptor` stays open until `OnClosed`.
  explicit IntakeConnection(int descriptor) : descriptor(descriptor) {}

  /// Frees the body and shuts the socket down, so that its server closes the connection.
  void Close();

  /// Must be called before the descriptor is closed, after which it may stand for another one.
  void OnClosed();

  /// Returns how many bytes `Append` would reserve for `size` further bytes of the body.
  /// `expected_size` is the size of the whole body if it is known, otherwise 0.
  size_t BytesToReserve(size_t size, size_t expected_size);

  /// Appends to the body. Returns false if the connection is being closed.
  bool Append(const char* data, size_t size, size_t expected_size);

  /// Returns the number of bytes of the body that were received and not freed.
  size_t BodySize();

  /// Returns how many bytes the body may take as a parsed JSON document.
  size_t DocumentSize();

  /// Frees the body and returns how many bytes were reserved for it.
  size_t DropBody();

  /// Returns the body and frees its blocks.
  std::string TakeBody();

 private:
  static size_t BlockSize(size_t size, size_t body_size, size_t expected_size);
  void FreeBody() REQUIRES(mutex);

  base::Mutex mutex;
  // -1 if the connection is closed.
  int descriptor GUARDED_BY(mutex);
  bool is_closing GUARDED_BY(mutex) = false;
  std::vector<std::string> blocks GUARDED_BY(mutex);
  size_t body_size GUARDED_BY(mutex) = 0;
  size_t reserved_size GUARDED_BY(mutex) = 0;
  size_t document_size GUARDED_BY(mutex) = 0;
};

}  // namespace sapphirecrank::frontend
