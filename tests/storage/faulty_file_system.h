#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "storage/file_system.h"

namespace sapphirecrank::storage {

/// In-memory files that lose unsynced data at a simulated crash and fail on demand.
///
/// Thread safety: none.
class FaultyFileSystem {
 public:
  explicit FaultyFileSystem(uint64_t seed) : random(seed) {}

  /// Returns hooks that use these files. Precondition: this object outlives the hooks.
  FileSystem MakeFileSystem();

  /// Simulates a crash and a restart. Of the unsynced tail of each file, a random prefix remains
  /// and may be corrupted. Of the unsynced directory operations, a random number of the first ones
  /// remain. Injected failures end.
  void Crash();

  /// After `count` more operations, the next one is carried out in part or not at all; it and all
  /// later operations fail until `Crash` is called.
  void CrashAfter(int count) { this->operations_until_crash = count; }

  /// Makes the next sync fail and lose its data. Later syncs of the file report success although
  /// nothing becomes durable.
  void FailNextSync() { this->fails_next_sync = true; }

  /// Limits the number of bytes that can still be written; a negative number means no limit.
  void LimitSpace(int64_t bytes) { this->free_space = bytes; }

  /// Tells whether the crash set by `CrashAfter` has happened.
  bool crashed() const { return this->has_crashed; }

  /// Flips a bit of the byte at `offset` in a file, durably. Precondition: the file is longer than
  /// `offset`.
  void FlipBit(const std::string& path, size_t offset);

  /// Returns a file's content.
  std::string Content(const std::string& path) const;

  /// Replaces the content of a file durably. Creates the file if it is missing.
  void SetContent(const std::string& path, const std::string& content);

  /// Removes a file durably.
  void Delete(const std::string& path);

  /// Returns the names, without the directory, of all files under `directory`.
  std::vector<std::string> FileNames(const std::string& directory) const;

  /// Returns how often files were synced, including failed attempts.
  int sync_count() const { return this->sync_calls; }

 private:
  struct File {
    std::string content;
    std::string durable_content;
    bool has_lost_data = false;
  };
  using DirectoryEntries = std::map<std::string, int>;

  bool FailsNextOperation();
  base::Result<FileHandle> Open(const std::string& path);
  base::Result<void> Append(FileHandle handle, std::string_view data);
  base::Result<void> Sync(FileHandle handle);
  base::Result<void> ChangeDirectoryEntries(const std::function<void(DirectoryEntries&)>& change);

  std::mt19937_64 random;
  std::map<int, File> files;
  DirectoryEntries directory_entries;
  DirectoryEntries durable_directory_entries;
  std::vector<std::function<void(DirectoryEntries&)>> unsynced_entry_changes;
  std::map<int32_t, int> open_files;
  std::set<std::string> directories;
  int next_file_number = 0;
  int32_t next_handle = 0;
  int operations_until_crash = -1;
  int64_t free_space = -1;
  bool fails_next_sync = false;
  bool has_crashed = false;
  int sync_calls = 0;
};

}  // namespace sapphirecrank::storage
