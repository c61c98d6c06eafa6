#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "storage/file_system.h"

namespace sapphirecrank::storage {

/// Files in memory that forget at a crash what was not synced, and fail on demand.
class FaultyFileSystem {
 public:
  explicit FaultyFileSystem(uint64_t seed) : random(seed) {}

  /// Returns the hooks. Precondition: this object outlives them.
  FileSystem Hooks();

  /// Loses unsynced data: of each file a random part of the unsynced tail stays, perhaps damaged,
  /// and of the unsynced directory operations a random number of the first ones. Ends a crash that
  /// `CrashAfter` has provoked.
  void Crash();

  /// Makes the operation after `count` more operations happen in part; then everything fails.
  void CrashAfter(int count) { this->operations_left = count; }

  /// Makes the next sync fail and lose its data for good; later syncs report success.
  void FailNextSync() { this->sync_fails = true; }

  /// Limits the bytes that can still be written; negative means no limit.
  void LimitSpace(int64_t bytes) { this->space = bytes; }

  /// Tells whether a provoked crash has happened.
  bool crashed() const { return this->down; }

  /// Flips a bit of a file's durable content. Precondition: the file is longer than `offset`.
  void Damage(const std::string& path, size_t offset);

  /// Returns a file's content.
  std::string Content(const std::string& path) const;

  /// Replaces a file's content durably, and creates the file.
  void SetContent(const std::string& path, const std::string& content);

  /// Removes a file durably.
  void Delete(const std::string& path);

  /// Returns the names of all files under `directory`.
  std::vector<std::string> Names(const std::string& directory) const;

  int syncs() const { return this->sync_count; }

 private:
  struct File {
    std::string content;
    std::string durable;
    bool loses_data = false;
  };
  using NameTable = std::map<std::string, int>;

  bool Fails();
  base::Result<FileHandle> Open(const std::string& path);
  base::Result<void> Write(FileHandle handle, std::string_view data);
  base::Result<void> Sync(FileHandle handle);
  base::Result<void> ChangeNames(const std::function<void(NameTable&)>& change);

  std::mt19937_64 random;
  std::map<int, File> files;
  NameTable names;
  NameTable durable_names;
  std::vector<std::function<void(NameTable&)>> unsynced_changes;
  std::map<int32_t, int> handles;
  std::set<std::string> directories;
  int next_file = 0;
  int32_t next_handle = 0;
  int operations_left = -1;
  int64_t space = -1;
  bool sync_fails = false;
  bool down = false;
  int sync_count = 0;
};

}  // namespace sapphirecrank::storage
