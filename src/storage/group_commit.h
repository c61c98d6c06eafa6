#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/result.h"
#include "storage/journal.h"

namespace sapphirecrank::storage {

/// Shares one journal among threads. A thread of its own writes the records; those that arrive
/// during a sync are written and synced together afterwards.
///
/// Thread safety: `AppendAsync` may be called from any thread. The destructor must not run on the
/// thread of the journal.
class GroupCommit {
 public:
  /// Receives success when a record is durable, or the journal's error.
  using DurabilityCallback = std::function<void(const base::Result<void>&)>;

  /// Takes over the journal and starts its thread with the name `name`.
  GroupCommit(const std::string& name, std::unique_ptr<Journal> journal);

  /// Writes the queued records, then joins the thread.
  ~GroupCommit();

  GroupCommit(const GroupCommit&) = delete;
  GroupCommit& operator=(const GroupCommit&) = delete;

  /// Queues a record. `on_durable` is called once on the thread of the journal. It must be short
  /// and must not block.
  void AppendAsync(JournalRecord record, DurabilityCallback on_durable);

 private:
  struct PendingRecord {
    JournalRecord record;
    DurabilityCallback on_durable;
  };

  void RunCommitLoop();

  std::unique_ptr<Journal> journal;
  std::mutex mutex;
  std::condition_variable pending_changed;
  std::vector<PendingRecord> pending_records;
  bool is_stopping = false;
  std::thread thread;
};

}  // namespace sapphirecrank::storage
