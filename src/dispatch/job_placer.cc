#include "dispatch/job_placer.h"

#include <map>
#include <set>
#include <utility>

#include "dispatch/host_selector.h"
#include "jobs/submission.h"

namespace sapphirecrank::dispatch {

using base::ErrorCode;
using base::ExecutionVerdict;
using base::HostId;
using base::PlacementNumber;
using base::TargetKind;
using base::TaskKey;

namespace {

constexpr size_t kShardCount = 64;

Assignment ToAssignment(const jobs::TaskStart& start) {
  const jobs::Submission& submission = *start.submission;
  const jobs::Submission::Task& task = submission.tasks[start.key.index.value()];
  Assignment assignment;
  assignment.spec.key = start.key;
  assignment.spec.team = submission.team;
  assignment.spec.kind = task.kind;
  assignment.spec.priority_class = submission.priority_class;
  assignment.spec.target_kind = TargetKind::kWorker;
  assignment.spec.declared_resources = task.declared_resources;
  assignment.spec.declared_run_time = task.declared_run_time;
  assignment.spec.deadline = start.deadline;
  assignment.spec.idempotent = task.idempotent;
  assignment.placement = start.placement;
  assignment.payload = task.payload;
  return assignment;
}

jobs::TaskReport ToJobReport(base::Epoch epoch, const TaskReport& report) {
  jobs::TaskReport job_report;
  job_report.epoch = epoch;
  job_report.key = report.key;
  job_report.placement = report.placement;
  job_report.verdict = report.verdict;
  job_report.succeeded = report.succeeded;
  job_report.body = report.succeeded ? report.body : report.error.message;
  job_report.error_code = report.error.code;
  return job_report;
}

}  // namespace

JobPlacer::JobPlacer(Hooks hooks) : hooks(std::move(hooks)), shards(kShardCount) {}

void JobPlacer::PlaceTasks(const std::vector<jobs::TaskStart>& starts) {
  HostSelector host_selector(this->hooks.host_loads(TargetKind::kWorker));
  std::map<HostId, std::vector<Assignment>> assignments_by_host;
  for (const jobs::TaskStart& start : starts) {
    Assignment assignment = ToAssignment(start);
    const HostId host = host_selector.SelectHost(assignment.spec.declared_resources);
    this->shards.WithShard(start.key, [&](Shard& shard) {
      shard[start.key] = {host, assignment.placement, start.epoch};
    });
    assignments_by_host[host].push_back(std::move(assignment));
  }
  for (const auto& [host, assignments] : assignments_by_host) {
    if (host.empty()) {
      this->ReportNotRun(host, assignments,
                         {ErrorCode::kUnavailable, "", "no known target could hold the task"});
    } else if (!this->hooks.assign_tasks(host, assignments)) {
      this->ReportNotRun(host, assignments,
                         {ErrorCode::kUnavailable, "", "no link to the entry host"});
    }
  }
}

void JobPlacer::CancelTasks(const std::vector<jobs::TaskStart>& starts) {
  std::set<std::pair<HostId, base::SubmissionId>> cancellations;
  for (const jobs::TaskStart& start : starts) {
    this->shards.WithShard(start.key, [&](Shard& shard) {
      auto found = shard.find(start.key);
      if (found != shard.end()) {
        cancellations.emplace(found->second.host, start.key.submission);
      }
    });
  }
  for (const auto& [host, submission] : cancellations) {
    this->hooks.cancel_submission(host, submission);
  }
}

bool JobPlacer::OnReport(const HostId& host, const TaskReport& report) {
  Placement placement;
  if (!this->TakePlacement(host, report.key, report.placement, placement)) {
    return false;
  }
  this->hooks.on_task_ended(ToJobReport(placement.epoch, report));
  return true;
}

void JobPlacer::OnHostLost(const HostId& host) {
  std::vector<TaskReport> lost_reports;
  this->shards.ForEachShard([&](Shard& shard) {
    for (const auto& [key, placement] : shard) {
      if (placement.host == host) {
        TaskReport report;
        report.key = key;
        report.placement = placement.number;
        report.verdict = ExecutionVerdict::kMayHaveRun;
        report.error = {ErrorCode::kUnavailable, "", "the entry host that ran the task was lost",
                        ExecutionVerdict::kMayHaveRun};
        lost_reports.push_back(std::move(report));
      }
    }
  });
  for (const TaskReport& report : lost_reports) {
    this->OnReport(host, report);
  }
}

bool JobPlacer::TakePlacement(const HostId& host, const TaskKey& key,
                              PlacementNumber placement_number, Placement& placement) {
  return this->shards.WithShard(key, [&](Shard& shard) {
    auto found = shard.find(key);
    if (found == shard.end() || found->second.host != host ||
        found->second.number != placement_number) {
      return false;
    }
    placement = found->second;
    shard.erase(found);
    return true;
  });
}

void JobPlacer::ReportNotRun(const HostId& host, const std::vector<Assignment>& assignments,
                             const base::Error& error) {
  for (const Assignment& assignment : assignments) {
    TaskReport report;
    report.key = assignment.spec.key;
    report.placement = assignment.placement;
    report.verdict = ExecutionVerdict::kNotRun;
    report.error = error;
    this->OnReport(host, report);
  }
}

}  // namespace sapphirecrank::dispatch
