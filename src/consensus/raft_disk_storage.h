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

/// One group's durable state on one host: a journal and a snapshot in one directory.
///
/// Thread safety: none.
class RaftDiskStorage {
 public:
  /// Opens the state in `directory`, which is created if its parent exists. `initial` is the
  /// group's first membership, used only if nothing is stored yet. Errors: `kCorrupted` with file
  /// and offset, or if snapshot and journal don't fit together; `kStorageFailed`.
  static base::Result<std::unique_ptr<RaftDiskStorage>> Open(const storage::FileSystem& files,
                                                             const std::string& directory,
                                                             const RaftMembership& initial);

  RaftDiskStorage(const RaftDiskStorage&) = delete;
  RaftDiskStorage& operator=(const RaftDiskStorage&) = delete;

  /// Returns what was stored when this object was opened.
  const RecoveredState& recovered_state() const { return this->state; }

  /// Returns the hooks for `RaftNode`. Precondition: this object outlives them.
  RaftStorage MakeStorageHooks();

 private:
  RaftDiskStorage(const storage::FileSystem& files, const std::string& directory);

  base::Result<void> Load(const storage::FileSystem& files, const RaftMembership& initial);
  base::Result<void> LoadSnapshot(const RaftMembership& initial);
  void ReplayRecord(const storage::JournalRecord& record);
  base::Result<void> ReconcileEntries();
  base::Result<void> CompleteSnapshot();
  base::Result<void> RewriteJournal(base::LogIndex base, const HardState& hard_state,
                                    const std::vector<LogEntry>& entries);
  base::Result<void> AppendEntries(const HardState& hard_state,
                                   const std::vector<LogEntry>& entries);
  base::Result<void> SaveSnapshot(const RaftSnapshot& snapshot, const HardState& hard_state,
                                  const std::vector<LogEntry>& entries);

  std::string directory;
  storage::AtomicFile snapshot_file;
  std::unique_ptr<storage::Journal> journal;
  RecoveredState state;
  // Snapshot that the journal relies on.
  base::LogIndex required_snapshot_index;
  bool has_undecodable_record = false;
};

}  // namespace sapphirecrank::consensus
