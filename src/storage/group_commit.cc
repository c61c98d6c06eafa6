#include "storage/group_commit.h"

#include <utility>

#include "base/thread_name.h"

namespace sapphirecrank::storage {

GroupCommit::GroupCommit(const std::string& name, std::unique_ptr<Journal> journal)
    : journal(std::move(journal)) {
  this->thread = std::thread([this, name] {
    base::SetThreadName(name);
    this->RunCommitLoop();
  });
}

GroupCommit::~GroupCommit() {
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->is_stopping = true;
  }
  this->pending_changed.notify_one();
  this->thread.join();
}

void GroupCommit::AppendAsync(JournalRecord record, DurabilityCallback on_durable) {
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->pending_records.push_back({std::move(record), std::move(on_durable)});
  }
  this->pending_changed.notify_one();
}

void GroupCommit::RunCommitLoop() {
  for (;;) {
    std::vector<PendingRecord> batch;
    {
      std::unique_lock<std::mutex> lock(this->mutex);
      this->pending_changed.wait(
          lock, [this] { return this->is_stopping || !this->pending_records.empty(); });
      if (this->pending_records.empty()) {
        return;
      }
      batch.swap(this->pending_records);
    }
    std::vector<JournalRecord> records;
    records.reserve(batch.size());
    for (PendingRecord& pending : batch) {
      records.push_back(std::move(pending.record));
    }
    base::Result<void> result = this->journal->Append(records);
    for (PendingRecord& pending : batch) {
      pending.on_durable(result);
    }
  }
}

}  // namespace sapphirecrank::storage
