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

/// The stored jobs as the group has agreed on them: a replicated state machine.
///
/// A job stays until it is forgotten, so that the same id again is the same job. Thread safety: all
/// methods may be called from any thread; `Apply` and `Restore` by one. State is in shards by job.
class JobStateMachine {
 public:
  /// Takes the ids of the jobs that a command changed.
  using ChangeCallback = std::function<void(const std::vector<base::SubmissionId>&)>;

  explicit JobStateMachine(ChangeCallback on_change);

  /// Applies a committed command. One that can't be decoded changes nothing.
  void Apply(const std::string& command);

  std::string TakeSnapshot();

  /// Replaces all jobs; an empty state holds none.
  void Restore(const std::string& state);

  /// Runs `function` on the job's record, or on null if it isn't stored, and returns its result.
  /// The function runs under the shard's lock and must not wait.
  template <typename Function>
  auto WithJob(const base::SubmissionId& id, Function&& function) {
    return this->shards.WithShard(id, [&](Shard& shard) {
      auto found = shard.find(id);
      return function(found == shard.end() ? nullptr : &found->second);
    });
  }

  /// Runs `function` on each record, under the lock of its shard.
  void ForEachJob(const std::function<void(const StoredJob&)>& function);

  /// Returns the memory of all payloads.
  base::ByteCount PayloadBytes() const { return base::ByteCount(this->payload_bytes); }

 private:
  using Shard = std::map<base::SubmissionId, StoredJob>;

  std::vector<base::SubmissionId> ApplyChange(const JobCommand::Submit& change);
  std::vector<base::SubmissionId> ApplyChange(const JobCommand::RecordOutcomes& change);
  std::vector<base::SubmissionId> ApplyChange(const JobCommand::Cancel& change);
  std::vector<base::SubmissionId> ApplyChange(const JobCommand::RemoveRecords& change);
  void EndJob(StoredJob& stored, StoredJob::Phase phase);

  ChangeCallback on_jobs_changed;
  base::Sharded<base::SubmissionId, Shard> shards;
  std::atomic<int64_t> payload_bytes{0};
};

}  // namespace sapphirecrank::stored
