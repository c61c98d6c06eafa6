#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "runs/batch_recall.h"
#include "runs/batch_result.h"
#include "runs/capacity_report.h"
#include "runs/returned_tasks.h"
#include "runs/task_batch.h"
#include "runs/task_end_rate.h"

namespace sapphirecrank::gateway {

/// An allocator without targets and network, for tests of gateways: starts the tasks of batches
/// when it is told to, or in the order of their arrival as far as its capacity allows.
///
/// Thread safety: none.
class FakeAllocator {
 public:
  /// All members must be set.
  struct Hooks {
    std::function<void(const runs::BatchResult&)> on_batch_end;
    std::function<void(const runs::ReturnedTasks&)> on_tasks_returned;
    /// Called when a run of a task of the batch starts.
    std::function<void(const runs::BatchKey&, const runs::JobTaskKey&, base::RunNumber)> on_start;
    /// Called when a task has ended with success.
    std::function<void(const runs::BatchKey&, const runs::JobTaskKey&)> on_task_done;
  };

  struct Task {
    runs::JobTaskKey key;
    base::RunNumber next_run;
    bool is_active = false;
    bool is_done = false;
    base::TimePoint ends_at;
  };

  struct Batch {
    runs::TaskBatch batch;
    std::vector<Task> tasks;
    base::TimePoint arrived_at;
    bool has_started = false;
  };

  FakeAllocator(base::TaskCount capacity, Hooks hooks);

  void Place(const runs::TaskBatch& batch, base::TimePoint now);
  void Cancel(const base::HostId& gateway, const base::SubmissionId& job);
  void Recall(const base::HostId& gateway, const runs::BatchRecall& recall);

  /// Returns at most `count` waiting tasks of a batch.
  void ReturnWaiting(const runs::BatchKey& key, size_t count, const std::string& reason);
  /// Returns all waiting tasks and starts no more.
  void Evacuate();
  /// Starts a waiting task; `position` is its position in the batch.
  void Start(const runs::BatchKey& key, size_t position, base::TimePoint now);
  /// Ends an active run: with success, or so that its task waits again.
  void EndRun(const runs::BatchKey& key, size_t position, bool has_succeeded, base::TimePoint now);
  /// Ends a batch before all of its tasks are done.
  void EndBatch(const runs::BatchKey& key, runs::BatchResult::Outcome outcome);
  /// Drops all batches, as an allocator that has lost its power.
  void Reset() { this->batches.clear(); }

  /// Ends the runs that have lasted for their expected run time and starts waiting tasks while
  /// there is capacity. With `ends_expired`, ends the batches whose wait limit has passed.
  void Advance(base::TimePoint now, bool ends_expired);

  /// Returns the report that a gateway would get now.
  runs::CapacityReport Report(base::TimePoint now) const;

  const std::map<runs::BatchKey, Batch>& open_batches() const { return this->batches; }

 private:
  /// Ends a batch of which all tasks are done or returned.
  void EndBatchIfDone(const runs::BatchKey& key);
  base::TaskCount ActiveCount() const;

  base::TaskCount capacity;
  Hooks hooks;
  bool is_evacuated = false;
  runs::TaskEndRate end_rate;
  std::map<runs::BatchKey, Batch> batches;
};

}  // namespace sapphirecrank::gateway
