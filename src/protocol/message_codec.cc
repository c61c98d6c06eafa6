#include "protocol/message_codec.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "json/bounded_document_builder.h"
#include "protocol/cluster_codec.h"
#include "protocol/field_reader.h"
#include "protocol/job_codec.h"
#include "protocol/json_fields.h"
#include "protocol/raft_codec.h"
#include "protocol/stored_codec.h"

namespace sapphirecrank::protocol {

using base::Resources;
using base::SlotCount;
using base::TaskKey;
using nlohmann::json;

namespace {

constexpr size_t kMaximumNestingDepth = 16;

// Each message type has a name on the wire, an encoder and a decoder. Adding a field requires a new
// protocol version unless the decoder treats the field as optional.

constexpr const char* kHelloType = "hello";
json EncodeMessage(const Hello& message) {
  return {{"type", kHelloType},
          {"version", message.protocol_version},
          {"host", ToJson(message.host)},
          {"data_centre", ToJson(message.data_centre)},
          {"incarnation", ToJson(message.incarnation)},
          {"address", ToJson(message.advertised_address)},
          {"secret", message.shared_secret}};
}
Message DecodeHello(FieldReader& reader) {
  Hello message;
  message.protocol_version = static_cast<uint32_t>(reader.ReadInteger("version", 0, UINT32_MAX));
  reader.Read("host", message.host);
  reader.Read("data_centre", message.data_centre);
  reader.Read("incarnation", message.incarnation);
  reader.Read("address", message.advertised_address);
  message.shared_secret = reader.ReadString("secret");
  return message;
}

constexpr const char* kHelloAckType = "hello_ack";
json EncodeMessage(const HelloAck& message) {
  return {{"type", kHelloAckType},
          {"host", ToJson(message.host)},
          {"incarnation", ToJson(message.incarnation)}};
}
Message DecodeHelloAck(FieldReader& reader) {
  HelloAck message;
  reader.Read("host", message.host);
  reader.Read("incarnation", message.incarnation);
  return message;
}

constexpr const char* kHeartbeatType = "heartbeat";
json EncodeMessage(const Heartbeat& message) {
  json loads = json::array();
  for (const TargetKindLoad& load : message.target_kind_loads) {
    loads.push_back({{"kind", EnumToJson(load.target_kind)},
                     {"free", ToJson(load.free_slots)},
                     {"total", ToJson(load.total_slots)},
                     {"queued", ToJson(load.queued_tasks)},
                     {"largest", EncodeResources(load.largest_target_resources)}});
  }
  return {{"type", kHeartbeatType},
          {"heartbeat", ToJson(message.sequence_number)},
          {"leaving", message.is_leaving},
          {"loads", std::move(loads)}};
}
Message DecodeHeartbeat(FieldReader& reader) {
  Heartbeat message;
  reader.Read("heartbeat", message.sequence_number);
  message.is_leaving = reader.ReadBool("leaving");
  message.target_kind_loads = DecodeArray<TargetKindLoad>(reader, "loads", [](FieldReader& item) {
    TargetKindLoad load;
    load.target_kind = item.ReadEnum("kind", base::TargetKind::kWorker);
    item.Read("free", load.free_slots);
    item.Read("total", load.total_slots);
    item.Read("queued", load.queued_tasks);
    load.largest_target_resources = DecodeResources(item, "largest");
    return load;
  });
  return message;
}

constexpr const char* kHeartbeatAckType = "heartbeat_ack";
json EncodeMessage(const HeartbeatAck& message) {
  return {{"type", kHeartbeatAckType}, {"heartbeat", ToJson(message.sequence_number)}};
}
Message DecodeHeartbeatAck(FieldReader& reader) {
  HeartbeatAck message;
  reader.Read("heartbeat", message.sequence_number);
  return message;
}

constexpr const char* kAssignTasksType = "assign_tasks";
json EncodeAssignedTask(const AssignedTask& task) {
  json map = {{"placement", ToJson(task.placement)},
              {"team", ToJson(task.team)},
              {"kind", ToJson(task.kind)},
              {"class", EnumToJson(task.priority_class)},
              {"target_kind", EnumToJson(task.target_kind)},
              {"declared", EncodeResources(task.declared_resources)},
              {"run_time", ToJson(task.declared_run_time)},
              {"deadline_left", ToJson(task.time_until_deadline)},
              {"idempotent", task.idempotent},
              {"payload", BytesToJson(task.payload)}};
  EncodeTaskKey(task.key, map);
  return map;
}
AssignedTask DecodeAssignedTask(FieldReader& reader) {
  AssignedTask task;
  DecodeTaskKey(reader, task.key);
  reader.Read("placement", task.placement);
  reader.Read("team", task.team);
  reader.Read("kind", task.kind);
  task.priority_class = reader.ReadEnum("class", base::PriorityClass::kBulk);
  task.target_kind = reader.ReadEnum("target_kind", base::TargetKind::kWorker);
  task.declared_resources = DecodeResources(reader, "declared");
  task.declared_run_time = ReadDuration(reader, "run_time");
  task.time_until_deadline = ReadDuration(reader, "deadline_left");
  task.idempotent = reader.ReadBool("idempotent");
  task.payload = reader.ReadBytes("payload");
  return task;
}
json EncodeMessage(const AssignTasks& message) {
  json tasks = json::array();
  for (const AssignedTask& task : message.tasks) {
    tasks.push_back(EncodeAssignedTask(task));
  }
  return {
      {"type", kAssignTasksType}, {"epoch", ToJson(message.epoch)}, {"tasks", std::move(tasks)}};
}
Message DecodeAssignTasks(FieldReader& reader) {
  AssignTasks message;
  reader.Read("epoch", message.epoch);
  message.tasks = DecodeArray<AssignedTask>(reader, "tasks", DecodeAssignedTask);
  return message;
}

constexpr const char* kTaskResultsType = "task_results";
json EncodeTaskResult(const TaskResult& result) {
  json map = {{"placement", ToJson(result.placement)}, {"succeeded", result.succeeded},
              {"verdict", EnumToJson(result.verdict)}, {"body", BytesToJson(result.response_body)},
              {"code", EnumToJson(result.error.code)}, {"field", result.error.field},
              {"message", result.error.message},       {"run_time_ns", result.run_time.count()}};
  EncodeTaskKey(result.key, map);
  return map;
}
TaskResult DecodeTaskResult(FieldReader& reader) {
  TaskResult result;
  DecodeTaskKey(reader, result.key);
  reader.Read("placement", result.placement);
  result.succeeded = reader.ReadBool("succeeded");
  result.verdict = reader.ReadEnum("verdict", base::ExecutionVerdict::kRan);
  result.response_body = reader.ReadBytes("body");
  result.error.code = reader.ReadEnum("code", base::ErrorCode::kInternal);
  result.error.field = reader.ReadString("field");
  result.error.message = reader.ReadString("message");
  result.error.verdict = result.verdict;
  result.run_time = ReadDuration(reader, "run_time_ns");
  return result;
}
json EncodeMessage(const TaskResults& message) {
  json results = json::array();
  for (const TaskResult& result : message.results) {
    results.push_back(EncodeTaskResult(result));
  }
  return {{"type", kTaskResultsType}, {"results", std::move(results)}};
}
Message DecodeTaskResults(FieldReader& reader) {
  TaskResults message;
  message.results = DecodeArray<TaskResult>(reader, "results", DecodeTaskResult);
  return message;
}

constexpr const char* kCancelTasksType = "cancel_tasks";
json EncodeMessage(const CancelTasks& message) {
  return {{"type", kCancelTasksType}, {"submission", ToJson(message.submission)}};
}
Message DecodeCancelTasks(FieldReader& reader) {
  CancelTasks message;
  reader.Read("submission", message.submission);
  return message;
}

constexpr const char* kForwardAnnouncementType = "forward_announcement";
json EncodeMessage(const ForwardAnnouncement& message) {
  const targets::TargetAnnouncement& announcement = message.announcement;
  json running = json::array();
  for (const base::AttemptId& attempt : announcement.running_attempts) {
    running.push_back(ToJson(attempt));
  }
  return {{"type", kForwardAnnouncementType},
          {"id", ToJson(announcement.id)},
          {"kind", EnumToJson(announcement.kind)},
          {"address", ToJson(announcement.address)},
          {"data_centre", ToJson(announcement.data_centre)},
          {"rack", ToJson(announcement.rack)},
          {"slots", ToJson(announcement.slots)},
          {"connections", ToJson(announcement.connections)},
          {"capacity", EncodeResources(announcement.capacity)},
          {"leaving", announcement.leaving},
          {"running", std::move(running)}};
}
Message DecodeForwardAnnouncement(FieldReader& reader) {
  targets::TargetAnnouncement announcement;
  reader.Read("id", announcement.id);
  announcement.kind = reader.ReadEnum("kind", base::TargetKind::kWorker);
  reader.Read("address", announcement.address);
  reader.Read("data_centre", announcement.data_centre);
  reader.Read("rack", announcement.rack);
  reader.Read("slots", announcement.slots);
  reader.Read("connections", announcement.connections);
  announcement.capacity = DecodeResources(reader, "capacity");
  announcement.leaving = reader.ReadBool("leaving");
  for (const json& attempt : reader.ReadArray("running")) {
    if (!attempt.is_string()) {
      reader.RecordError("running");
      break;
    }
    announcement.running_attempts.emplace_back(attempt.get<std::string>());
  }
  return ForwardAnnouncement{std::move(announcement)};
}

struct MessageDecoder {
  const char* type;
  Message (*decode)(FieldReader&);
};

constexpr MessageDecoder kMessageDecoders[] = {
    {kHelloType, DecodeHello},
    {kHelloAckType, DecodeHelloAck},
    {kHeartbeatType, DecodeHeartbeat},
    {kHeartbeatAckType, DecodeHeartbeatAck},
    {kAssignTasksType, DecodeAssignTasks},
    {kTaskResultsType, DecodeTaskResults},
    {kCancelTasksType, DecodeCancelTasks},
    {kForwardAnnouncementType, DecodeForwardAnnouncement},
    {kConsensusMessageType, DecodeConsensusMessage},
    {kJobRecordType, DecodeJobRecord},
    {kRecordAckType, DecodeRecordAck},
    {kForwardSubmissionType, DecodeForwardSubmission},
    {kSubmissionResponseType, DecodeSubmissionResponse},
    {kCancelSubmissionType, DecodeCancelSubmission},
    {kTaskBatchType, DecodeTaskBatch},
    {kBatchResultType, DecodeBatchResult},
    {kBatchCancelType, DecodeBatchCancel},
    {kBatchRecallType, DecodeBatchRecall},
    {kReturnedTasksType, DecodeReturnedTasks},
    {kCapacityReportType, DecodeCapacityReport},
    {kTargetReportType, DecodeTargetReport},
    {kClusterUpdateType, DecodeClusterUpdate},
    {kConfigurationRequestType, DecodeConfigurationRequest},
    {kConfigurationResponseType, DecodeConfigurationResponse},
    {kJoinRequestType, DecodeJoinRequest},
    {kRunEventsType, DecodeRunEvents},
    {kRunEventAcknowledgementsType, DecodeRunEventAcknowledgements},
    {kJobRequestType, DecodeJobRequest},
    {kJobResponseType, DecodeJobResponse},
};

const MessageDecoder* FindMessageDecoder(const std::string& type) {
  for (const MessageDecoder& decoder : kMessageDecoders) {
    if (type == decoder.type) {
      return &decoder;
    }
  }
  return nullptr;
}

tl::unexpected<base::Error> MalformedMessageError(const std::string& field) {
  return base::MakeErrorResult(base::ErrorCode::kInvalidArgument,
                               "malformed message: field '" + field + "' is missing or invalid",
                               field);
}

}  // namespace

std::string EncodeEnvelope(const Envelope& envelope) {
  json map =
      std::visit([](const auto& message) { return EncodeMessage(message); }, envelope.message);
  map["number"] = ToJson(envelope.sequence_number);
  map["acknowledged"] = ToJson(envelope.acknowledged_up_to);
  map["session"] = ToJson(envelope.session_number);
  if (envelope.receiver_session_number) {
    map["receiver_session"] = ToJson(*envelope.receiver_session_number);
  }
  std::string bytes;
  json::to_cbor(map, bytes);
  return bytes;
}

base::Result<Envelope> DecodeEnvelope(std::string_view bytes) {
  if (static_cast<int64_t>(bytes.size()) > kMaximumMessageSize.value()) {
    return base::MakeErrorResult(base::ErrorCode::kTooLarge, "message exceeds the size limit",
                                 "message");
  }
  json map;
  ::sapphirecrank::json::BoundedDocumentBuilder builder(map, kMaximumNestingDepth);
  if (!json::sax_parse(bytes, &builder, json::input_format_t::cbor)) {
    return MalformedMessageError("message");
  }
  FieldReader reader(map);
  const MessageDecoder* decoder = FindMessageDecoder(reader.ReadString("type"));
  if (decoder == nullptr) {
    return MalformedMessageError("type");
  }
  Envelope envelope;
  reader.Read("number", envelope.sequence_number);
  reader.Read("acknowledged", envelope.acknowledged_up_to);
  reader.Read("session", envelope.session_number);
  if (reader.Has("receiver_session")) {
    reader.Read("receiver_session", envelope.receiver_session_number.emplace());
  }
  envelope.message = decoder->decode(reader);
  if (!reader.faulty_field().empty()) {
    return MalformedMessageError(reader.faulty_field());
  }
  return envelope;
}

}  // namespace sapphirecrank::protocol
