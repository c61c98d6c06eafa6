#include "stored/job_command.h"

#include <utility>

#include "storage/byte_reader.h"
#include "storage/byte_writer.h"
#include "stored/job_codec.h"

namespace sapphirecrank::stored {

namespace {

// First byte of an encoded command.
constexpr char kSubmitTag = 's';
constexpr char kRecordOutcomesTag = 'o';
constexpr char kCancelTag = 'x';
constexpr char kRemoveRecordsTag = 'f';
// Program versions before this command ignore it.
constexpr char kSupersedeRunsTag = 'u';

void WriteRunKey(storage::ByteWriter& writer, const runs::RunKey& key) {
  writer.WriteString(key.task.job.value());
  writer.WriteU32(key.task.occurrence.value());
  writer.WriteU32(key.task.step.value());
  writer.WriteU32(key.task.index.value());
  writer.WriteU32(key.run.value());
}

runs::RunKey ReadRunKey(storage::ByteReader& reader) {
  runs::RunKey key;
  key.task.job = base::SubmissionId(reader.ReadString());
  key.task.occurrence = base::OccurrenceNumber(reader.ReadU32());
  key.task.step = base::StepIndex(reader.ReadU32());
  key.task.index = base::TaskIndex(reader.ReadU32());
  key.run = base::RunNumber(reader.ReadU32());
  return key;
}

void WriteChange(storage::ByteWriter& writer, const JobCommand::Submit& change) {
  writer.WriteBytes({&kSubmitTag, 1});
  WriteJob(writer, change.job);
}

void WriteChange(storage::ByteWriter& writer, const JobCommand::RecordOutcomes& change) {
  writer.WriteBytes({&kRecordOutcomesTag, 1});
  writer.WriteU32(static_cast<uint32_t>(change.outcomes.size()));
  for (const TaskOutcome& outcome : change.outcomes) {
    WriteRunKey(writer, outcome.key);
    writer.WriteU32(outcome.has_succeeded ? 1 : 0);
  }
}

void WriteChange(storage::ByteWriter& writer, const JobCommand::Cancel& change) {
  writer.WriteBytes({&kCancelTag, 1});
  writer.WriteString(change.id.value());
}

void WriteChange(storage::ByteWriter& writer, const JobCommand::RemoveRecords& change) {
  writer.WriteBytes({&kRemoveRecordsTag, 1});
  writer.WriteU32(static_cast<uint32_t>(change.ids.size()));
  for (const base::SubmissionId& id : change.ids) {
    writer.WriteString(id.value());
  }
}

void WriteChange(storage::ByteWriter& writer, const JobCommand::SupersedeRuns& change) {
  writer.WriteBytes({&kSupersedeRunsTag, 1});
  writer.WriteU32(static_cast<uint32_t>(change.lowest_valid_runs.size()));
  for (const runs::RunKey& key : change.lowest_valid_runs) {
    WriteRunKey(writer, key);
  }
}

TaskOutcome ReadOutcome(storage::ByteReader& reader) {
  TaskOutcome outcome;
  outcome.key = ReadRunKey(reader);
  outcome.has_succeeded = reader.ReadU32() != 0;
  return outcome;
}

bool ReadChange(char tag, storage::ByteReader& reader, JobCommand& command) {
  switch (tag) {
    case kSubmitTag:
      command.change = JobCommand::Submit{ReadJob(reader)};
      return true;
    case kRecordOutcomesTag: {
      JobCommand::RecordOutcomes change;
      const uint32_t count = reader.ReadU32();
      for (uint32_t i = 0; i < count && reader.ok(); ++i) {
        change.outcomes.push_back(ReadOutcome(reader));
      }
      command.change = std::move(change);
      return true;
    }
    case kCancelTag:
      command.change = JobCommand::Cancel{base::SubmissionId(reader.ReadString())};
      return true;
    case kRemoveRecordsTag: {
      JobCommand::RemoveRecords change;
      const uint32_t count = reader.ReadU32();
      for (uint32_t i = 0; i < count && reader.ok(); ++i) {
        change.ids.emplace_back(reader.ReadString());
      }
      command.change = std::move(change);
      return true;
    }
    case kSupersedeRunsTag: {
      JobCommand::SupersedeRuns change;
      const uint32_t count = reader.ReadU32();
      for (uint32_t i = 0; i < count && reader.ok(); ++i) {
        change.lowest_valid_runs.push_back(ReadRunKey(reader));
      }
      command.change = std::move(change);
      return true;
    }
    default:
      return false;
  }
}

}  // namespace

std::string JobCommand::Encode() const {
  storage::ByteWriter writer;
  std::visit([&writer](const auto& alternative) { WriteChange(writer, alternative); },
             this->change);
  return writer.TakeBytes();
}

base::Result<JobCommand> JobCommand::Decode(const std::string& bytes) {
  JobCommand command;
  storage::ByteReader reader(bytes);
  const std::string_view tag = reader.ReadBytes(1);
  if (tag.empty() || !ReadChange(tag.front(), reader, command) || !reader.ok()) {
    return base::MakeErrorResult(base::ErrorCode::kInvalidArgument,
                                 "the bytes are not a valid command for stored jobs");
  }
  return command;
}

}  // namespace sapphirecrank::stored
