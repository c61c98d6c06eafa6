#include "tests/gateway/fake_allocator.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sapphirecrank::gateway {

using base::TaskCount;

FakeAllocator::FakeAllocator(TaskCount capacity, Hooks hooks)
    : capacity(capacity), hooks(std::move(hooks)) {}

void FakeAllocator::Place(const runs::TaskBatch& batch, base::TimePoint now) {
  Batch placed;
  placed.batch = batch;
  placed.arrived_at = now;
  for (const runs::BatchTask& task : batch.tasks) {
    placed.tasks.push_back({task.key, batch.first_run_number, false, false, {}});
  }
  this->batches[batch.key] = std::move(placed);
}

void FakeAllocator::Cancel(const base::HostId& gateway, const base::SubmissionId& job) {
  for (auto found = this->batches.begin(); found != this->batches.end();) {
    const bool is_cancelled = found->first.gateway == gateway && found->first.job == job;
    found = is_cancelled ? this->batches.erase(found) : std::next(found);
  }
}

void FakeAllocator::Recall(const base::HostId& gateway, const runs::BatchRecall& recall) {
  this->ReturnWaiting({gateway, recall.job, recall.batch}, SIZE_MAX, "recalled");
}

void FakeAllocator::ReturnWaiting(const runs::BatchKey& key, size_t count,
                                  const std::string& reason) {
  auto found = this->batches.find(key);
  if (found == this->batches.end()) {
    return;
  }
  runs::ReturnedTasks returned;
  returned.key = key;
  returned.reason = reason;
  std::vector<Task>& tasks = found->second.tasks;
  for (auto task = tasks.begin(); task != tasks.end() && returned.tasks.size() < count;) {
    if (task->is_active || task->is_done) {
      ++task;
      continue;
    }
    returned.may_have_run =
        returned.may_have_run || task->next_run != found->second.batch.first_run_number;
    returned.tasks.push_back({task->key, task->next_run});
    task = tasks.erase(task);
  }
  if (returned.tasks.empty()) {
    return;
  }
  returned.is_batch_ended = tasks.empty();
  if (returned.is_batch_ended) {
    this->batches.erase(found);
  }
  this->hooks.on_tasks_returned(returned);
  this->EndBatchIfDone(key);
}

void FakeAllocator::Evacuate() {
  this->is_evacuated = true;
  std::vector<runs::BatchKey> keys;
  for (const auto& [key, batch] : this->batches) {
    keys.push_back(key);
  }
  for (const runs::BatchKey& key : keys) {
    this->ReturnWaiting(key, SIZE_MAX, "evacuated");
  }
}

void FakeAllocator::Start(const runs::BatchKey& key, size_t position, base::TimePoint now) {
  Batch& batch = this->batches.at(key);
  Task& task = batch.tasks.at(position);
  batch.has_started = true;
  task.is_active = true;
  task.ends_at = now + batch.batch.expected_run_time;
  this->hooks.on_start(key, task.key, task.next_run);
  task.next_run = task.next_run.Next();
}

void FakeAllocator::EndRun(const runs::BatchKey& key, size_t position, bool has_succeeded,
                           base::TimePoint now) {
  Task& task = this->batches.at(key).tasks.at(position);
  task.is_active = false;
  this->end_rate.RecordEnd(now);
  task.is_done = has_succeeded;
  if (has_succeeded) {
    this->hooks.on_task_done(key, task.key);
    this->EndBatchIfDone(key);
  }
}

void FakeAllocator::EndBatch(const runs::BatchKey& key, runs::BatchResult::Outcome outcome) {
  this->batches.erase(key);
  this->hooks.on_batch_end({key, outcome, "test"});
}

void FakeAllocator::EndBatchIfDone(const runs::BatchKey& key) {
  auto found = this->batches.find(key);
  if (found != this->batches.end() &&
      std::all_of(found->second.tasks.begin(), found->second.tasks.end(),
                  [](const Task& task) { return task.is_done; })) {
    this->EndBatch(key, runs::BatchResult::Outcome::kCompleted);
  }
}

TaskCount FakeAllocator::ActiveCount() const {
  TaskCount count;
  for (const auto& [key, batch] : this->batches) {
    for (const Task& task : batch.tasks) {
      count += TaskCount(task.is_active ? 1 : 0);
    }
  }
  return count;
}

void FakeAllocator::Advance(base::TimePoint now, bool ends_expired) {
  std::vector<std::tuple<base::Priority, base::TimePoint, runs::BatchKey>> queue;
  for (const auto& [key, batch] : this->batches) {
    queue.emplace_back(batch.batch.priority, batch.arrived_at, key);
  }
  std::sort(queue.begin(), queue.end());
  for (const auto& [priority, arrived_at, key] : queue) {
    for (size_t i = 0; this->batches.count(key) > 0 && i < this->batches[key].tasks.size(); ++i) {
      const Task& task = this->batches[key].tasks[i];
      if (task.is_active && task.ends_at <= now) {
        this->EndRun(key, i, true, now);
      }
    }
  }
  TaskCount active_count = this->ActiveCount();
  for (const auto& [priority, arrived_at, key] : queue) {
    auto found = this->batches.find(key);
    if (found == this->batches.end()) {
      continue;
    }
    const Batch& batch = found->second;
    for (size_t i = 0; i < batch.tasks.size() && active_count < this->capacity; ++i) {
      if (!this->is_evacuated && !batch.tasks[i].is_active && !batch.tasks[i].is_done) {
        this->Start(key, i, now);
        active_count += TaskCount(1);
      }
    }
    if (ends_expired && !batch.has_started && now - arrived_at >= batch.batch.wait_limit) {
      this->EndBatch(key, runs::BatchResult::Outcome::kNotRun);
    }
  }
}

runs::CapacityReport FakeAllocator::Report(base::TimePoint now) const {
  runs::CapacityReport report;
  report.data_centre = base::DataCentreId("d");
  report.accepts_recalls = true;
  runs::CapacityReport::ServiceCapacity service;
  service.service = base::ServiceId("s");
  if (!this->is_evacuated) {
    service.total_task_capacity = this->capacity;
    service.free_task_capacity = this->capacity - this->ActiveCount();
  }
  service.mean_end_interval = this->end_rate.MeanInterval(now);
  std::map<base::Priority, TaskCount> waiting;
  for (const auto& [key, batch] : this->batches) {
    for (const Task& task : batch.tasks) {
      if (!task.is_active && !task.is_done) {
        waiting[batch.batch.priority] += TaskCount(1);
        service.waiting_task_count += TaskCount(1);
      }
    }
  }
  for (const auto& [priority, count] : waiting) {
    service.waiting_by_priority.push_back({priority, count});
  }
  report.service_capacities = {service};
  return report;
}

}  // namespace sapphirecrank::gateway
