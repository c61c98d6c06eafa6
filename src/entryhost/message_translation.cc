#include "entryhost/message_translation.h"

namespace sapphirecrank::entryhost {

using dispatch::Assignment;
using dispatch::TaskReport;

protocol::AssignTasks ToMessage(const std::vector<Assignment>& tasks, base::TimePoint now) {
  protocol::AssignTasks message;
  message.tasks.reserve(tasks.size());
  for (const Assignment& task : tasks) {
    const scheduling::TaskSpec& spec = task.spec;
    message.tasks.push_back({spec.key, task.placement, spec.team, spec.kind, spec.priority_class,
                             spec.target_kind, spec.declared_resources, spec.declared_run_time,
                             spec.deadline - now, spec.idempotent, task.payload});
  }
  return message;
}

std::vector<Assignment> FromMessage(const protocol::AssignTasks& message, base::TimePoint now) {
  std::vector<Assignment> tasks;
  tasks.reserve(message.tasks.size());
  for (const protocol::AssignedTask& task : message.tasks) {
    Assignment assignment;
    assignment.spec.key = task.key;
    assignment.spec.team = task.team;
    assignment.spec.kind = task.kind;
    assignment.spec.priority_class = task.priority_class;
    assignment.spec.target_kind = task.target_kind;
    assignment.spec.declared_resources = task.declared_resources;
    assignment.spec.declared_run_time = task.declared_run_time;
    assignment.spec.deadline = now + task.time_until_deadline;
    assignment.spec.idempotent = task.idempotent;
    assignment.placement = task.placement;
    assignment.payload = task.payload;
    tasks.push_back(std::move(assignment));
  }
  return tasks;
}

protocol::TaskResults ToMessage(const std::vector<TaskReport>& reports) {
  protocol::TaskResults message;
  message.results.reserve(reports.size());
  for (const TaskReport& report : reports) {
    message.results.push_back({report.key, report.placement, report.succeeded, report.verdict,
                               report.body, report.error, report.response_time});
  }
  return message;
}

std::vector<TaskReport> FromMessage(const protocol::TaskResults& message) {
  std::vector<TaskReport> reports;
  reports.reserve(message.results.size());
  for (const protocol::TaskResult& result : message.results) {
    reports.push_back({result.key, result.placement, result.succeeded, result.verdict,
                       result.response_body, result.error, result.run_time});
  }
  return reports;
}

protocol::TargetKindLoad ToMessage(base::TargetKind kind, const scheduling::LoadSummary& load) {
  return {kind,
          load.free_slots,
          load.total_slots,
          load.queued_tasks,
          {load.largest_processors, load.largest_memory, load.largest_accelerators}};
}

scheduling::LoadSummary FromMessage(const protocol::TargetKindLoad& load) {
  return {load.free_slots,
          load.total_slots,
          load.queued_tasks,
          load.largest_target_resources.processors,
          load.largest_target_resources.memory,
          load.largest_target_resources.accelerators};
}

}  // namespace sapphirecrank::entryhost
