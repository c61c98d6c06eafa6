#pragma once

#include <functional>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/sharded.h"
#include "base/time.h"
#include "dispatch/task_report.h"

namespace sapphirecrank::dispatch {

/// Gathers reports for other hosts so that results which end close together share one message.
///
/// The first report after a quiet time is sent at once, so that a single task isn't delayed; those
/// that follow within the window are sent together at its end. Thread safety: all methods may be
/// called from any thread; hooks run with no lock held.
class TaskReportBatcher {
 public:
  /// Behaviour handed in; all members must be set.
  struct Hooks {
    base::Clock now;
    std::function<void(const base::HostId&, const std::vector<TaskReport>&)> send_reports;
  };

  TaskReportBatcher(base::Duration window, Hooks hooks);

  /// Adds a report for `host`.
  void AddReport(const base::HostId& host, const TaskReport& report);

  /// Sends what has waited for the window. Call it once a window.
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
