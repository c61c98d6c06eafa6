#include "stored/job_codec.h"

#include <cstring>

#include "storage/byte_reader.h"
#include "storage/byte_writer.h"

namespace sapphirecrank::stored {

using base::Duration;
using base::RunNumber;
using storage::ByteReader;
using storage::ByteWriter;

namespace {

void WriteSigned(ByteWriter& writer, int64_t value) {
  writer.WriteU64(static_cast<uint64_t>(value));
}

int64_t ReadSigned(ByteReader& reader) { return static_cast<int64_t>(reader.ReadU64()); }

void WriteStep(ByteWriter& writer, const gateway::JobStep& step) {
  WriteSigned(writer, step.task_count.value());
  WriteSigned(writer, step.required_resources.processors.value());
  WriteSigned(writer, step.required_resources.memory.value());
  WriteSigned(writer, step.required_resources.accelerators.value());
  WriteSigned(writer, step.estimated_run_time.count());
  writer.WriteString(step.placement_rule.required_label.value());
  WriteSigned(writer, step.placement_rule.maximum_tasks_per_target.value());
  writer.WriteU32(step.is_long_running ? 1 : 0);
  writer.WriteU32(static_cast<uint32_t>(step.dependencies.size()));
  for (const base::StepIndex dependency : step.dependencies) {
    writer.WriteU32(dependency.value());
  }
}

gateway::JobStep ReadStep(ByteReader& reader) {
  gateway::JobStep step;
  step.task_count = base::TaskCount(ReadSigned(reader));
  step.required_resources.processors = base::MilliCores(ReadSigned(reader));
  step.required_resources.memory = base::ByteCount(ReadSigned(reader));
  step.required_resources.accelerators =
      base::AcceleratorCount(static_cast<int32_t>(ReadSigned(reader)));
  step.estimated_run_time = Duration(ReadSigned(reader));
  step.placement_rule.required_label = base::LabelId(reader.ReadString());
  step.placement_rule.maximum_tasks_per_target = base::TaskCount(ReadSigned(reader));
  step.is_long_running = reader.ReadU32() != 0;
  const uint32_t dependency_count = reader.ReadU32();
  for (uint32_t i = 0; i < dependency_count && reader.ok(); ++i) {
    step.dependencies.emplace_back(reader.ReadU32());
  }
  return step;
}

void WriteTask(ByteWriter& writer, const StoredTask& task) {
  // Run numbers start at 1, so 0 stands for no run.
  writer.WriteU32(task.successful_run.value_or(RunNumber(0)).value());
  writer.WriteU32(static_cast<uint32_t>(task.failed_runs.size()));
  for (const RunNumber run : task.failed_runs) {
    writer.WriteU32(run.value());
  }
}

StoredTask ReadTask(ByteReader& reader) {
  StoredTask task;
  const RunNumber successful_run(reader.ReadU32());
  if (successful_run != RunNumber(0)) {
    task.successful_run = successful_run;
  }
  const uint32_t failed_run_count = reader.ReadU32();
  for (uint32_t i = 0; i < failed_run_count && reader.ok(); ++i) {
    task.failed_runs.emplace_back(reader.ReadU32());
  }
  return task;
}

}  // namespace

void WriteJob(ByteWriter& writer, const gateway::Job& job) {
  writer.WriteString(job.id.value());
  writer.WriteString(job.request_id);
  writer.WriteString(job.queue.value());
  writer.WriteU64(job.configuration_version.value());
  writer.WriteString(job.service.value());
  WriteSigned(writer, job.priority.value());
  WriteSigned(writer, job.maximum_attempts.value());
  uint64_t slowdown_bits = 0;
  std::memcpy(&slowdown_bits, &job.maximum_slowdown, sizeof(slowdown_bits));
  writer.WriteU64(slowdown_bits);
  WriteSigned(writer, job.latency_objective.count());
  writer.WriteString(job.payload);
  writer.WriteU32(static_cast<uint32_t>(job.steps.size()));
  for (const gateway::JobStep& step : job.steps) {
    WriteStep(writer, step);
  }
}

gateway::Job ReadJob(ByteReader& reader) {
  gateway::Job job;
  job.is_stored = true;
  job.id = base::SubmissionId(reader.ReadString());
  job.request_id = reader.ReadString();
  job.queue = base::QueueId(reader.ReadString());
  job.configuration_version = base::Version(reader.ReadU64());
  job.service = base::ServiceId(reader.ReadString());
  job.priority = base::Priority(static_cast<int32_t>(ReadSigned(reader)));
  job.maximum_attempts = base::AttemptCount(static_cast<int32_t>(ReadSigned(reader)));
  const uint64_t slowdown_bits = reader.ReadU64();
  std::memcpy(&job.maximum_slowdown, &slowdown_bits, sizeof(slowdown_bits));
  job.latency_objective = Duration(ReadSigned(reader));
  job.payload = reader.ReadString();
  const uint32_t step_count = reader.ReadU32();
  for (uint32_t i = 0; i < step_count && reader.ok(); ++i) {
    job.steps.push_back(ReadStep(reader));
  }
  return job;
}

void WriteStoredJob(ByteWriter& writer, const StoredJob& stored) {
  WriteJob(writer, stored.job);
  writer.WriteU32(static_cast<uint32_t>(stored.phase));
  for (const std::vector<StoredTask>& step : stored.steps) {
    writer.WriteU32(static_cast<uint32_t>(step.size()));
    for (const StoredTask& task : step) {
      WriteTask(writer, task);
    }
  }
}

StoredJob ReadStoredJob(ByteReader& reader) {
  StoredJob stored;
  stored.job = ReadJob(reader);
  stored.phase = static_cast<StoredJob::Phase>(reader.ReadU32());
  stored.steps.resize(stored.job.steps.size());
  for (std::vector<StoredTask>& step : stored.steps) {
    const uint32_t task_count = reader.ReadU32();
    for (uint32_t i = 0; i < task_count && reader.ok(); ++i) {
      step.push_back(ReadTask(reader));
    }
  }
  return stored;
}

}  // namespace sapphirecrank::stored
