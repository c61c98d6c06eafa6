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

/// Shares one journal among threads: records that arrive during a sync are written and synced
/// together by the next one, on one thread of its own.
///
/// Thread safety: `Append` may be called from any thread. The destructor must not run on the
/// journal's thread.
class GroupCommit {
 public:
  using DurabilityCallback = std::function<void(const base::Result<void>&)>;

  /// Takes over the journal and starts the thread called `name`.
  GroupCommit(const std::string& name, std::unique_ptr<Journal> journal);

  /// Writes what is queued, then joins the thread.
  ~GroupCommit();

  GroupCommit(const GroupCommit&) = delete;
  GroupCommit& operator=(const GroupCommit&) = delete;

  /// Queues a record. `on_durable` runs once on the journal's thread, with success when the record
  /// is durable, or with the journal's error. It must be short and must not wait.
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
