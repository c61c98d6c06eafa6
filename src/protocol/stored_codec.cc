#include "protocol/stored_codec.h"

#include <utility>
#include <vector>

#include "protocol/json_fields.h"

namespace sapphirecrank::protocol {

using nlohmann::json;
using runs::RunEvent;
using stored::JobRequest;
using stored::JobResponse;
using stored::JobState;

namespace {

json EncodeRunEventList(const std::vector<RunEvent>& events) {
  json list = json::array();
  for (const RunEvent& event : events) {
    list.push_back({{"service", ToJson(event.service)},
                    {"target", ToJson(event.target)},
                    {"born", ToJson(event.target_incarnation)},
                    {"end", ToJson(event.end_sequence_number)},
                    {"job", ToJson(event.key.task.job)},
                    {"occurrence", ToJson(event.key.task.occurrence)},
                    {"step", ToJson(event.key.task.step)},
                    {"index", ToJson(event.key.task.index)},
                    {"run", ToJson(event.key.run)},
                    {"kind", EnumToJson(event.kind)},
                    {"gone", event.is_run_gone}});
  }
  return list;
}

std::vector<RunEvent> DecodeRunEventList(FieldReader& reader, const char* name) {
  return DecodeArray<RunEvent>(reader, name, [](FieldReader& item) {
    RunEvent event;
    item.Read("service", event.service);
    item.Read("target", event.target);
    item.Read("born", event.target_incarnation);
    item.Read("end", event.end_sequence_number);
    item.Read("job", event.key.task.job);
    item.Read("occurrence", event.key.task.occurrence);
    item.Read("step", event.key.task.step);
    item.Read("index", event.key.task.index);
    item.Read("run", event.key.run);
    event.kind = item.ReadEnum("kind", RunEvent::Kind::kReturned);
    // Earlier program versions don't send the field; their runs may still be active.
    event.is_run_gone = item.ReadBoolOr("gone", false);
    return event;
  });
}

}  // namespace

json EncodeMessage(const runs::RunEvents& message) {
  return {{"type", kRunEventsType}, {"notices", EncodeRunEventList(message.events)}};
}

Message DecodeRunEvents(FieldReader& reader) {
  return runs::RunEvents{DecodeRunEventList(reader, "notices")};
}

json EncodeMessage(const runs::RunEventAcknowledgements& message) {
  return {{"type", kRunEventAcknowledgementsType},
          {"noted", EncodeRunEventList(message.acknowledged)},
          {"outdated", EncodeRunEventList(message.superseded)}};
}

Message DecodeRunEventAcknowledgements(FieldReader& reader) {
  runs::RunEventAcknowledgements message;
  message.acknowledged = DecodeRunEventList(reader, "noted");
  message.superseded = DecodeRunEventList(reader, "outdated");
  return message;
}

json EncodeMessage(const JobRequest& message) {
  return {{"type", kJobRequestType},          {"request", ToJson(message.request_number)},
          {"kind", EnumToJson(message.kind)}, {"id", ToJson(message.job_id)},
          {"queue", ToJson(message.queue)},   {"command", BytesToJson(message.command)}};
}

Message DecodeJobRequest(FieldReader& reader) {
  JobRequest message;
  reader.Read("request", message.request_number);
  message.kind = reader.ReadEnum("kind", JobRequest::Kind::kCountPendingJobs);
  reader.Read("id", message.job_id);
  reader.Read("queue", message.queue);
  message.command = reader.ReadBytes("command");
  return message;
}

json EncodeMessage(const JobResponse& message) {
  return {{"type", kJobResponseType},
          {"request", ToJson(message.request_number)},
          {"outcome", EnumToJson(message.outcome)},
          {"state", EnumToJson(message.state)},
          {"pending", ToJson(message.pending_job_count)},
          {"leader", ToJson(message.leader)}};
}

Message DecodeJobResponse(FieldReader& reader) {
  JobResponse message;
  reader.Read("request", message.request_number);
  message.outcome = reader.ReadEnum("outcome", JobResponse::Outcome::kNotLeader);
  message.state = reader.ReadEnum("state", JobState::kCancelled);
  reader.Read("pending", message.pending_job_count);
  reader.Read("leader", message.leader);
  return message;
}

}  // namespace sapphirecrank::protocol
