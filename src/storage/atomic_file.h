#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/result.h"
#include "storage/file_system.h"

namespace sapphirecrank::storage {

/// One durable value in a file that is replaced whole, with format version and checksum.
///
/// A new value is written to a temporary file, synced, renamed over the old one, and the directory
/// is synced; the old value stays until the rename. Thread safety: none.
class AtomicFile {
 public:
  /// `directory` exists; `name` is the file's name in it.
  AtomicFile(const FileSystem& files, const std::string& directory, const std::string& name);

  /// Replaces the value; on success it is durable. A failure is final: each later call fails.
  base::Result<void> Save(std::string_view value);

  /// Returns the value, or nothing if none was ever saved. Errors: `kCorrupted` with file and
  /// offset, `kStorageFailed`.
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
