#include "dispatch/task_report_batcher.h"

#include <utility>

namespace sapphirecrank::dispatch {

namespace {
constexpr size_t kShardCount = 16;
}  // namespace

TaskReportBatcher::TaskReportBatcher(base::Duration batch_window, Hooks hooks)
    : batch_window(batch_window), hooks(std::move(hooks)), shards(kShardCount) {}

void TaskReportBatcher::AddReport(const base::HostId& host, const TaskReport& report) {
  const base::TimePoint now = this->hooks.now();
  const bool is_sent_now = this->shards.WithShard(host, [&](Shard& shard) {
    Buffer& buffer = shard[host];
    if (buffer.reports.empty() && now >= buffer.window_end) {
      buffer.window_end = now + this->batch_window;
      return true;
    }
    buffer.reports.push_back(report);
    return false;
  });
  if (is_sent_now) {
    this->hooks.send_reports(host, {report});
  }
}

void TaskReportBatcher::FlushDueReports() {
  const base::TimePoint now = this->hooks.now();
  std::vector<std::pair<base::HostId, std::vector<TaskReport>>> due_batches;
  this->shards.ForEachShard([&](Shard& shard) {
    for (auto& [host, buffer] : shard) {
      if (!buffer.reports.empty() && now >= buffer.window_end) {
        due_batches.emplace_back(host, std::exchange(buffer.reports, {}));
        buffer.window_end = now + this->batch_window;
      }
    }
  });
  for (const auto& [host, reports] : due_batches) {
    this->hooks.send_reports(host, reports);
  }
}

}  // namespace sapphirecrank::dispatch
