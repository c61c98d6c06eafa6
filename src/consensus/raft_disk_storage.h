#pragma once

#include <memory>
#include <string>
#include <vector>

#include "base/result.h"
#include "consensus/hard_state.h"
#include "consensus/log_entry.h"
#include "consensus/raft_membership.h"
#include "consensus/raft_snapshot.h"
#include "consensus/raft_storage.h"
#include "consensus/recovered_state.h"
#include "storage/atomic_file.h"
#include "storage/file_system.h"
#include "storage/journal.h"

namespace sapphirecrank::consensus {

/// Durable Raft state of one group on one host: a journal and a snapshot in one directory.
///
/// Thread safety: none.
class RaftDiskStorage {
 public:
  /// Opens the state in `directory`. Creates the directory if it is missing; its parent must exist.
  /// `initial_membership` is the group's first membership. It is used only if nothing is stored
  /// yet. Errors: `kCorrupted` if the journal or the snapshot is damaged (with file and offset) or
  /// can't be decoded, or if they don't match; `kStorageFailed` if a file operation fails.
  static base::Result<std::unique_ptr<RaftDiskStorage>> Open(
      const storage::FileSystem& file_system, const std::string& directory,
      const RaftMembership& initial_membership);

  RaftDiskStorage(const RaftDiskStorage&) = delete;
  RaftDiskStorage& operator=(const RaftDiskStorage&) = delete;

  /// Returns the state that was stored when this object was opened.
  const RecoveredState& recovered_state() const { return this->state; }

  /// Returns the storage hooks for a `RaftNode`. Precondition: this object outlives them.
  RaftStorage MakeStorageHooks();

 private:
  RaftDiskStorage(const storage::FileSystem& file_system, const std::string& directory);

  base::Result<void> Load(const storage::FileSystem& file_system,
                          const RaftMembership& initial_membership);
  base::Result<void> LoadSnapshot(const RaftMembership& initial_membership);
  void ReplayRecord(const storage::JournalRecord& record);
  base::Result<void> ReconcileEntries();
  base::Result<void> CompleteSnapshot();
  base::Result<void> RewriteJournal(base::LogIndex snapshot_index, const HardState& hard_state,
                                    const std::vector<LogEntry>& entries);
  base::Result<void> AppendEntries(const HardState& hard_state,
                                   const std::vector<LogEntry>& entries);
  base::Result<void> SaveSnapshot(const RaftSnapshot& snapshot, const HardState& hard_state,
                                  const std::vector<LogEntry>& entries);

  std::string directory;
  storage::AtomicFile snapshot_file;
  std::unique_ptr<storage::Journal> journal;
  RecoveredState state;
  // Index of the snapshot that the journal continues.
  base::LogIndex required_snapshot_index;
  bool has_undecodable_record = false;
};

}  // namespace sapphirecrank::consensus
