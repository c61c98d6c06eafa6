#include "stored/job_state_machine.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "storage/byte_reader.h"
#include "storage/byte_writer.h"
#include "stored/job_codec.h"

namespace sapphirecrank::stored {

using base::SubmissionId;

namespace {

constexpr size_t kShardCount = 16;

// Begins the last part of a snapshot, which has the superseded runs. A program version before it
// takes the marker for the length of a job's id, finds too few bytes, and keeps the jobs that it
// has read.
constexpr uint32_t kSupersededRunsMarker = std::numeric_limits<uint32_t>::max();

void AppendLowestValidRuns(const StoredJob& stored, std::vector<runs::RunKey>& lowest_valid_runs) {
  for (uint32_t step = 0; step < stored.steps.size(); ++step) {
    for (uint32_t i = 0; i < stored.steps[step].size(); ++i) {
      const base::RunNumber lowest = stored.steps[step][i].lowest_valid_run;
      if (stored.phase == StoredJob::Phase::kOpen && lowest != base::RunNumber()) {
        lowest_valid_runs.push_back(
            {{stored.job.id, base::OccurrenceNumber(), base::StepIndex(step), base::TaskIndex(i)},
             lowest});
      }
    }
  }
}

StoredTask* FindTask(StoredJob& stored, const runs::JobTaskKey& key) {
  if (key.step.value() >= stored.steps.size() ||
      key.index.value() >= stored.steps[key.step.value()].size()) {
    return nullptr;
  }
  return &stored.steps[key.step.value()][key.index.value()];
}

bool AreAllTasksDone(const StoredJob& stored) {
  return std::all_of(stored.steps.begin(), stored.steps.end(), [](const auto& step) {
    return std::all_of(step.begin(), step.end(),
                       [](const StoredTask& task) { return task.successful_run.has_value(); });
  });
}

}  // namespace

JobStateMachine::JobStateMachine(ChangeCallback on_change)
    : on_jobs_changed(std::move(on_change)), shards(kShardCount) {}

void JobStateMachine::Apply(const std::string& command) {
  const auto decoded = JobCommand::Decode(command);
  if (!decoded) {
    return;
  }
  const std::vector<SubmissionId> changed =
      std::visit([this](const auto& change) { return this->ApplyChange(change); }, decoded->change);
  if (!changed.empty()) {
    this->on_jobs_changed(changed);
  }
}

std::vector<SubmissionId> JobStateMachine::ApplyChange(const JobCommand::Submit& change) {
  const bool is_new = this->shards.WithShard(change.job.id, [&](Shard& shard) {
    auto [found, is_inserted] = shard.try_emplace(change.job.id);
    if (is_inserted) {
      StoredJob& stored = found->second;
      stored.job = change.job;
      for (const gateway::JobStep& step : change.job.steps) {
        stored.steps.emplace_back(static_cast<size_t>(step.task_count.value()));
      }
      this->payload_bytes += static_cast<int64_t>(change.job.payload.size());
    }
    return is_inserted;
  });
  return is_new ? std::vector<SubmissionId>{change.job.id} : std::vector<SubmissionId>();
}

std::vector<SubmissionId> JobStateMachine::ApplyChange(const JobCommand::RecordOutcomes& change) {
  std::vector<SubmissionId> changed;
  for (const TaskOutcome& outcome : change.outcomes) {
    const SubmissionId& id = outcome.key.task.job;
    this->shards.WithShard(id, [&](Shard& shard) {
      auto found = shard.find(id);
      if (found == shard.end() || found->second.phase != StoredJob::Phase::kOpen) {
        return;
      }
      StoredJob& stored = found->second;
      StoredTask* task = FindTask(stored, outcome.key.task);
      if (task == nullptr || task->successful_run || outcome.key.run < task->lowest_valid_run) {
        return;
      }
      changed.push_back(id);
      if (outcome.has_succeeded) {
        task->successful_run = outcome.key.run;
        if (AreAllTasksDone(stored)) {
          this->EndJob(stored, StoredJob::Phase::kCompleted);
        }
        return;
      }
      std::vector<base::RunNumber>& failed_runs = task->failed_runs;
      if (std::find(failed_runs.begin(), failed_runs.end(), outcome.key.run) == failed_runs.end()) {
        failed_runs.push_back(outcome.key.run);
      }
      if (failed_runs.size() >= static_cast<size_t>(stored.job.maximum_attempts.value())) {
        this->EndJob(stored, StoredJob::Phase::kFailed);
      }
    });
  }
  return changed;
}

std::vector<SubmissionId> JobStateMachine::ApplyChange(const JobCommand::Cancel& change) {
  const bool is_open = this->shards.WithShard(change.id, [&](Shard& shard) {
    auto found = shard.find(change.id);
    if (found == shard.end() || found->second.phase != StoredJob::Phase::kOpen) {
      return false;
    }
    this->EndJob(found->second, StoredJob::Phase::kCancelled);
    return true;
  });
  return is_open ? std::vector<SubmissionId>{change.id} : std::vector<SubmissionId>();
}

std::vector<SubmissionId> JobStateMachine::ApplyChange(const JobCommand::RemoveRecords& change) {
  std::vector<SubmissionId> changed;
  for (const SubmissionId& id : change.ids) {
    this->shards.WithShard(id, [&](Shard& shard) {
      auto found = shard.find(id);
      if (found != shard.end() && found->second.phase != StoredJob::Phase::kOpen) {
        shard.erase(found);
        changed.push_back(id);
      }
    });
  }
  return changed;
}

std::vector<SubmissionId> JobStateMachine::ApplyChange(const JobCommand::SupersedeRuns& change) {
  std::set<SubmissionId> changed;
  for (const runs::RunKey& key : change.lowest_valid_runs) {
    const SubmissionId& id = key.task.job;
    this->shards.WithShard(id, [&](Shard& shard) {
      auto found = shard.find(id);
      if (found == shard.end() || found->second.phase != StoredJob::Phase::kOpen) {
        return;
      }
      StoredTask* task = FindTask(found->second, key.task);
      if (task != nullptr && !task->successful_run) {
        task->lowest_valid_run = std::max(task->lowest_valid_run, key.run);
        changed.insert(id);
      }
    });
  }
  return {changed.begin(), changed.end()};
}

void JobStateMachine::EndJob(StoredJob& stored, StoredJob::Phase phase) {
  stored.phase = phase;
  this->payload_bytes -= static_cast<int64_t>(stored.job.payload.size());
  stored.job.payload = std::string();
}

std::string JobStateMachine::TakeSnapshot() {
  storage::ByteWriter writer;
  std::vector<runs::RunKey> lowest_valid_runs;
  this->ForEachJob([&](const StoredJob& stored) {
    WriteStoredJob(writer, stored);
    AppendLowestValidRuns(stored, lowest_valid_runs);
  });
  if (!lowest_valid_runs.empty()) {
    writer.WriteU32(kSupersededRunsMarker);
    writer.WriteString(JobCommand{JobCommand::SupersedeRuns{lowest_valid_runs}}.Encode());
  }
  return writer.TakeBytes();
}

void JobStateMachine::Restore(const std::string& state) {
  this->shards.ForEachShard([](Shard& shard) { shard.clear(); });
  this->payload_bytes = 0;
  storage::ByteReader reader(state);
  while (reader.remaining_size() > 0) {
    storage::ByteReader lookahead = reader;
    if (lookahead.ReadU32() == kSupersededRunsMarker) {
      const auto command = JobCommand::Decode(lookahead.ReadString());
      if (command && std::holds_alternative<JobCommand::SupersedeRuns>(command->change)) {
        (void)this->ApplyChange(std::get<JobCommand::SupersedeRuns>(command->change));
      }
      return;
    }
    StoredJob stored = ReadStoredJob(reader);
    if (!reader.ok()) {
      return;
    }
    this->payload_bytes += static_cast<int64_t>(stored.job.payload.size());
    const SubmissionId id = stored.job.id;
    this->shards.WithShard(id, [&](Shard& shard) { shard[id] = std::move(stored); });
  }
}

void JobStateMachine::ForEachJob(const std::function<void(const StoredJob&)>& function) {
  this->shards.ForEachShard([&function](Shard& shard) {
    for (const auto& [id, stored] : shard) {
      function(stored);
    }
  });
}

}  // namespace sapphirecrank::stored
