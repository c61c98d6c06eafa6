#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/result.h"
#include "storage/file_system.h"

namespace sapphirecrank::storage {

/// A durable value in a file that is replaced atomically, with format version and checksum.
///
/// A new value is written to a temporary file, which is synced and renamed over the old file; then
/// the directory is synced. The old value remains until the rename. Thread safety: none.
class AtomicFile {
 public:
  /// `name` is the name of the file in `directory`. Precondition: `directory` exists.
  AtomicFile(const FileSystem& file_system, const std::string& directory, const std::string& name);

  /// Replaces the value. On success the new value is durable. After a failure each later call fails
  /// too. Error: `kStorageFailed`.
  base::Result<void> Save(std::string_view value);

  /// Returns the value, or nothing if none was ever saved. Errors: `kCorrupted` with file and
  /// offset in the message, `kStorageFailed`.
  base::Result<std::optional<std::string>> Load() const;

 private:
  base::Result<void> Replace(std::string_view value);
  base::Result<void> WriteTemporary(std::string_view value);

  FileSystem file_system;
  std::string directory;
  std::string name;
  bool has_failed = false;
};

}  // namespace sapphirecrank::storage
