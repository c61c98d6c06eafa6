#pragma once

#include <functional>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/sharded.h"
#include "base/time.h"
#include "dispatch/task_report.h"

namespace sapphirecrank::dispatch {

/// Batches the reports to each host, so that tasks that end close together share one message.
///
/// The first report after an idle period is sent at once, so that a single task isn't delayed.
/// Reports that follow within the batch window are sent together at its end. Thread safety: all
/// methods may be called from any thread; hooks run with no lock held.
class TaskReportBatcher {
 public:
  /// Callbacks of the batcher; all must be set.
  struct Hooks {
    /// Current time.
    base::Clock now;
    /// Sends reports to a host in one message.
    std::function<void(const base::HostId&, const std::vector<TaskReport>&)> send_reports;
  };

  /// `batch_window` is the minimum interval between two messages to one host.
  TaskReportBatcher(base::Duration batch_window, Hooks hooks);

  /// Sends a report to `host` at once or adds it to the batch of the host.
  void AddReport(const base::HostId& host, const TaskReport& report);

  /// Sends the batches whose window has ended. Must be called at least once per window.
  void FlushDueReports();

 private:
  struct Buffer {
    std::vector<TaskReport> reports;
    base::TimePoint window_end;
  };

  using Shard = std::unordered_map<base::HostId, Buffer>;

  base::Duration batch_window;
  Hooks hooks;
  base::Sharded<base::HostId, Shard> shards;
};

}  // namespace sapphirecrank::dispatch
