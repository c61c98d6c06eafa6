#include "protocol/stored_codec.h"

#include <utility>
#include <vector>

#include "protocol/json_fields.h"

namespace sapphirecrank::protocol {

using nlohmann::json;
using runs::RunEvent;
using stored::JobReply;
using stored::JobRequest;
using stored::JobState;

namespace {

json EncodeNotices(const std::vector<RunEvent>& notices) {
  json list = json::array();
  for (const RunEvent& notice : notices) {
    list.push_back({{"service", Value(notice.service)},
                    {"target", Value(notice.target)},
                    {"born", Value(notice.target_incarnation)},
                    {"end", Value(notice.end_sequence_number)},
                    {"job", Value(notice.key.task.job)},
                    {"occurrence", Value(notice.key.task.occurrence)},
                    {"step", Value(notice.key.task.step)},
                    {"index", Value(notice.key.task.index)},
                    {"run", Value(notice.key.run)},
                    {"kind", Number(notice.kind)}});
  }
  return list;
}

std::vector<RunEvent> DecodeNotices(FieldReader& reader, const char* name) {
  return DecodeArray<RunEvent>(reader, name, [](FieldReader& item) {
    RunEvent notice;
    item.Read("service", notice.service);
    item.Read("target", notice.target);
    item.Read("born", notice.target_incarnation);
    item.Read("end", notice.end_sequence_number);
    item.Read("job", notice.key.task.job);
    item.Read("occurrence", notice.key.task.occurrence);
    item.Read("step", notice.key.task.step);
    item.Read("index", notice.key.task.index);
    item.Read("run", notice.key.run);
    notice.kind = item.ReadEnum("kind", RunEvent::Kind::kReturned);
    return notice;
  });
}

}  // namespace

json EncodeBody(const runs::RunEvents& message) {
  return {{"type", kRunNotices}, {"notices", EncodeNotices(message.events)}};
}

Message DecodeRunNotices(FieldReader& reader) {
  return runs::RunEvents{DecodeNotices(reader, "notices")};
}

json EncodeBody(const runs::RunEventAcknowledgements& message) {
  return {{"type", kNoticeAnswers},
          {"noted", EncodeNotices(message.acknowledged)},
          {"outdated", EncodeNotices(message.superseded)}};
}

Message DecodeNoticeAnswers(FieldReader& reader) {
  runs::RunEventAcknowledgements message;
  message.acknowledged = DecodeNotices(reader, "noted");
  message.superseded = DecodeNotices(reader, "outdated");
  return message;
}

json EncodeBody(const JobRequest& message) {
  return {{"type", kJobRequest},           {"request", Value(message.request_number)},
          {"kind", Number(message.kind)},  {"id", Value(message.job_id)},
          {"queue", Value(message.queue)}, {"command", Bytes(message.command)}};
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

json EncodeBody(const JobReply& message) {
  return {{"type", kJobReply},
          {"request", Value(message.request_number)},
          {"outcome", Number(message.outcome)},
          {"state", Number(message.state)},
          {"pending", Value(message.pending_job_count)},
          {"leader", Value(message.leader)}};
}

Message DecodeJobReply(FieldReader& reader) {
  JobReply message;
  reader.Read("request", message.request_number);
  message.outcome = reader.ReadEnum("outcome", JobReply::Outcome::kNotLeader);
  message.state = reader.ReadEnum("state", JobState::kCancelled);
  reader.Read("pending", message.pending_job_count);
  reader.Read("leader", message.leader);
  return message;
}

}  // namespace sapphirecrank::protocol
