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
/// handle in the message. Thread safety: that of the implementation of the hooks.
struct FileSystem {
  /// Opens a file for appending and creates it if it is missing.
  std::function<base::Result<FileHandle>(const std::string& path)> open_for_append;
  /// Appends all of `data`. After a failure the end of the file is undefined.
  std::function<base::Result<void>(FileHandle file, std::string_view data)> append;
  /// Makes the written data durable. After a failure it is unknown which data is durable, and a
  /// later success says nothing about the data written before the failure.
  std::function<base::Result<void>(FileHandle file)> sync;
  /// Closes the file. Data that was not synced may be lost.
  std::function<void(FileHandle file)> close;
  /// Truncates the file to `size` and makes the truncation durable.
  std::function<base::Result<void>(const std::string& path, base::ByteCount size)> truncate;
  /// Makes creations, renames and removals of files in the directory durable.
  std::function<base::Result<void>(const std::string& directory)> sync_directory;
  /// Renames `from` to `to` and replaces an existing `to` atomically. Durable after
  /// `sync_directory`.
  std::function<base::Result<void>(const std::string& from, const std::string& to)> rename;
  /// Removes a file. Durable after `sync_directory`.
  std::function<base::Result<void>(const std::string& path)> remove;
  /// Returns the names, without the directory, of the files in `directory`, in any order.
  std::function<base::Result<std::vector<std::string>>(const std::string& directory)>
      list_directory;
  /// Returns the whole content of a file.
  std::function<base::Result<std::string>(const std::string& path)> read;
  /// Creates a directory unless it exists; its parent must exist.
  std::function<base::Result<void>(const std::string& path)> create_directory;
};

}  // namespace sapphirecrank::storage
