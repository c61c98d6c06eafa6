#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/sharded.h"
#include "base/units.h"
#include "stored/job_command.h"
#include "stored/stored_job.h"

namespace sapphirecrank::stored {

/// Replicated state machine that holds the records of the stored jobs.
///
/// A record stays until it is removed, so that a resubmission with the same id joins the same job.
/// Thread safety: all methods may be called from any thread, but `Apply` and `Restore` only by one
/// thread at a time. State is sharded by job.
class JobStateMachine {
 public:
  /// Called with the ids of the jobs that a command changed, without a lock.
  using ChangeCallback = std::function<void(const std::vector<base::SubmissionId>&)>;

  explicit JobStateMachine(ChangeCallback on_change);

  /// Applies a committed command. A command that can't be decoded is ignored.
  void Apply(const std::string& command);

  /// Returns the encoding of all records.
  std::string TakeSnapshot();

  /// Replaces all records by those of a snapshot; an empty one holds none. If the snapshot is
  /// truncated, only the records before that point are restored. The callback isn't called.
  void Restore(const std::string& state);

  /// Calls `function` with the job's record, or with null if there is none, and returns its result.
  /// The function runs under the shard's lock and must not wait.
  template <typename Function>
  auto WithJob(const base::SubmissionId& id, Function&& function) {
    return this->shards.WithShard(id, [&](Shard& shard) {
      auto found = shard.find(id);
      return function(found == shard.end() ? nullptr : &found->second);
    });
  }

  /// Calls `function` with each record, under the lock of its shard.
  void ForEachJob(const std::function<void(const StoredJob&)>& function);

  /// Returns the total size of all payloads in bytes.
  base::ByteCount PayloadBytes() const { return base::ByteCount(this->payload_bytes); }

 private:
  using Shard = std::map<base::SubmissionId, StoredJob>;

  std::vector<base::SubmissionId> ApplyChange(const JobCommand::Submit& change);
  std::vector<base::SubmissionId> ApplyChange(const JobCommand::RecordOutcomes& change);
  std::vector<base::SubmissionId> ApplyChange(const JobCommand::Cancel& change);
  std::vector<base::SubmissionId> ApplyChange(const JobCommand::RemoveRecords& change);
  std::vector<base::SubmissionId> ApplyChange(const JobCommand::SupersedeRuns& change);
  void EndJob(StoredJob& stored, StoredJob::Phase phase);

  ChangeCallback on_jobs_changed;
  base::Sharded<base::SubmissionId, Shard> shards;
  std::atomic<int64_t> payload_bytes{0};
};

}  // namespace sapphirecrank::stored
