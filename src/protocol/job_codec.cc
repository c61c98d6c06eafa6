#include "protocol/job_codec.h"

#include <memory>
#include <utility>

#include "protocol/json_fields.h"

namespace sapphirecrank::protocol {

using jobs::JobRecord;
using jobs::JobResult;
using jobs::RecordAck;
using jobs::Submission;
using nlohmann::json;

namespace {

json EncodeError(const base::Error& error) {
  return {{"code", EnumToJson(error.code)},
          {"field", error.field},
          {"message", error.message},
          {"verdict", EnumToJson(error.verdict)}};
}

base::Error DecodeError(FieldReader& parent, const char* name) {
  FieldReader reader(parent.ReadMap(name));
  base::Error error;
  error.code = reader.ReadEnum("code", base::ErrorCode::kInternal);
  error.field = reader.ReadString("field");
  error.message = reader.ReadString("message");
  error.verdict = reader.ReadEnum("verdict", base::ExecutionVerdict::kRan);
  if (!reader.faulty_field().empty()) {
    parent.RecordError(name);
  }
  return error;
}

json EncodeJobTaskResults(const std::vector<jobs::TaskResult>& results) {
  json array = json::array();
  for (const jobs::TaskResult& result : results) {
    array.push_back({{"index", ToJson(result.index)},
                     {"verdict", EnumToJson(result.verdict)},
                     {"ok", result.succeeded},
                     {"body", BytesToJson(result.body)}});
  }
  return array;
}

std::vector<jobs::TaskResult> DecodeJobTaskResults(FieldReader& reader, const char* name) {
  return DecodeArray<jobs::TaskResult>(reader, name, [](FieldReader& item) {
    jobs::TaskResult result;
    item.Read("index", result.index);
    result.verdict = item.ReadEnum("verdict", base::ExecutionVerdict::kRan);
    result.succeeded = item.ReadBool("ok");
    result.body = item.ReadBytes("body");
    return result;
  });
}

json EncodeSubmission(const Submission& submission) {
  json tasks = json::array();
  for (const Submission::Task& task : submission.tasks) {
    tasks.push_back({{"kind", ToJson(task.kind)},
                     {"payload", BytesToJson(task.payload)},
                     {"declared", EncodeResources(task.declared_resources)},
                     {"run_time", ToJson(task.declared_run_time)},
                     {"idempotent", task.idempotent}});
  }
  return {{"id", ToJson(submission.id)},
          {"team", ToJson(submission.team)},
          {"class", EnumToJson(submission.priority_class)},
          {"time_left", ToJson(submission.time_left)},
          {"tasks", std::move(tasks)}};
}

Submission DecodeSubmission(FieldReader& parent, const char* name) {
  FieldReader reader(parent.ReadMap(name));
  Submission submission;
  reader.Read("id", submission.id);
  reader.Read("team", submission.team);
  submission.priority_class = reader.ReadEnum("class", base::PriorityClass::kBulk);
  submission.time_left = ReadDuration(reader, "time_left");
  submission.tasks = DecodeArray<Submission::Task>(reader, "tasks", [](FieldReader& item) {
    Submission::Task task;
    item.Read("kind", task.kind);
    task.payload = item.ReadBytes("payload");
    task.declared_resources = DecodeResources(item, "declared");
    task.declared_run_time = ReadDuration(item, "run_time");
    task.idempotent = item.ReadBool("idempotent");
    return task;
  });
  if (!reader.faulty_field().empty()) {
    parent.RecordError(name);
  }
  return submission;
}

json EncodeTaskIndices(const std::vector<base::TaskIndex>& indices) {
  json array = json::array();
  for (const base::TaskIndex index : indices) {
    array.push_back(ToJson(index));
  }
  return array;
}

std::vector<base::TaskIndex> DecodeTaskIndices(FieldReader& reader, const char* name) {
  std::vector<base::TaskIndex> indices;
  for (const json& index : reader.ReadArray(name)) {
    if (!index.is_number_unsigned() || index.get<uint64_t>() > UINT32_MAX) {
      reader.RecordError(name);
      break;
    }
    indices.emplace_back(index.get<uint32_t>());
  }
  return indices;
}

}  // namespace

json EncodeMessage(const JobRecord& record) {
  json map = {{"type", kJobRecordType},
              {"epoch", ToJson(record.epoch)},
              {"owner", ToJson(record.owner.host)},
              {"owner_incarnation", ToJson(record.owner.incarnation)},
              {"acceptance", ToJson(record.ownership_sequence_number)},
              {"sequence", ToJson(record.sequence_number)},
              {"id", ToJson(record.id)},
              {"full", record.submission != nullptr},
              {"unproven", record.requires_uniqueness_check},
              {"time_left", ToJson(record.time_left)},
              {"starts", EncodeTaskIndices(record.started_tasks)},
              {"results", EncodeJobTaskResults(record.task_results)},
              {"ended", record.has_ended},
              {"complete", record.succeeded},
              {"error", EncodeError(record.error)}};
  if (record.submission != nullptr) {
    map["submission"] = EncodeSubmission(*record.submission);
  }
  return map;
}

Message DecodeJobRecord(FieldReader& reader) {
  JobRecord record;
  reader.Read("epoch", record.epoch);
  reader.Read("owner", record.owner.host);
  reader.Read("owner_incarnation", record.owner.incarnation);
  reader.Read("acceptance", record.ownership_sequence_number);
  reader.Read("sequence", record.sequence_number);
  reader.Read("id", record.id);
  if (reader.ReadBool("full")) {
    record.submission = std::make_shared<Submission>(DecodeSubmission(reader, "submission"));
  }
  record.requires_uniqueness_check = reader.ReadBool("unproven");
  record.time_left = ReadDuration(reader, "time_left");
  record.started_tasks = DecodeTaskIndices(reader, "starts");
  record.task_results = DecodeJobTaskResults(reader, "results");
  record.has_ended = reader.ReadBool("ended");
  record.succeeded = reader.ReadBool("complete");
  record.error = DecodeError(reader, "error");
  return record;
}

json EncodeMessage(const RecordAck& ack) {
  return {{"type", kRecordAckType},
          {"epoch", ToJson(ack.epoch)},
          {"owner_incarnation", ToJson(ack.owner_incarnation)},
          {"sequence", ToJson(ack.sequence_number)},
          {"id", ToJson(ack.id)},
          {"known_owner", ToJson(ack.known_owner)},
          {"outcome", EnumToJson(ack.outcome)}};
}

Message DecodeRecordAck(FieldReader& reader) {
  RecordAck ack;
  reader.Read("epoch", ack.epoch);
  reader.Read("owner_incarnation", ack.owner_incarnation);
  reader.Read("sequence", ack.sequence_number);
  reader.Read("id", ack.id);
  reader.Read("known_owner", ack.known_owner);
  ack.outcome = reader.ReadEnum("outcome", RecordAck::Outcome::kFenced);
  return ack;
}

json EncodeMessage(const ForwardSubmission& message) {
  return {{"type", kForwardSubmissionType},
          {"request", ToJson(message.request_number)},
          {"submission", EncodeSubmission(message.submission)}};
}

Message DecodeForwardSubmission(FieldReader& reader) {
  ForwardSubmission message;
  reader.Read("request", message.request_number);
  message.submission = DecodeSubmission(reader, "submission");
  return message;
}

json EncodeMessage(const SubmissionResponse& message) {
  const JobResult& result = message.result;
  return {{"type", kSubmissionResponseType}, {"request", ToJson(message.request_number)},
          {"complete", result.succeeded},    {"error", EncodeError(result.error)},
          {"owner", ToJson(result.owner)},   {"tasks", EncodeJobTaskResults(result.task_results)}};
}

Message DecodeSubmissionResponse(FieldReader& reader) {
  SubmissionResponse message;
  reader.Read("request", message.request_number);
  message.result.succeeded = reader.ReadBool("complete");
  message.result.error = DecodeError(reader, "error");
  reader.Read("owner", message.result.owner);
  message.result.task_results = DecodeJobTaskResults(reader, "tasks");
  return message;
}

json EncodeMessage(const CancelSubmission& message) {
  return {{"type", kCancelSubmissionType}, {"submission", ToJson(message.submission)}};
}

Message DecodeCancelSubmission(FieldReader& reader) {
  CancelSubmission message;
  reader.Read("submission", message.submission);
  return message;
}

}  // namespace sapphirecrank::protocol
