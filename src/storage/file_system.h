#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/units.h"
#include "storage/file_handle.h"

namespace sapphirecrank::storage {

/// The file operations that durable state needs. Every failure is `kStorageFailed` with the path or
/// handle in the message. Thread safety: as the implementation behind the hooks.
struct FileSystem {
  /// Opens a file for appending and creates it if it is missing.
  std::function<base::Result<FileHandle>(const std::string& path)> open_for_append;
  /// Appends all of `data`. After a failure the end of the file is undefined.
  std::function<base::Result<void>(FileHandle file, std::string_view data)> append;
  /// Makes what was written durable. After a failure it is unknown what is durable, and a later
  /// success says nothing about the data written before.
  std::function<base::Result<void>(FileHandle file)> sync;
  /// Closes the file; unsynced data may be lost.
  std::function<void(FileHandle file)> close;
  /// Cuts the file to `size` and makes this durable.
  std::function<base::Result<void>(const std::string& path, base::ByteCount size)> truncate;
  /// Makes creations, renames and removals in the directory durable.
  std::function<base::Result<void>(const std::string& directory)> sync_directory;
  /// Replaces `to` by `from` atomically.
  std::function<base::Result<void>(const std::string& from, const std::string& to)> rename;
  std::function<base::Result<void>(const std::string& path)> remove;
  /// Returns the names, without directory, of the files in `directory` in any order.
  std::function<base::Result<std::vector<std::string>>(const std::string& directory)>
      list_directory;
  /// Returns the whole content of a file.
  std::function<base::Result<std::string>(const std::string& path)> read;
  /// Creates a directory unless it exists; its parent must exist.
  std::function<base::Result<void>(const std::string& path)> create_directory;
};

}  // namespace sapphirecrank::storage
