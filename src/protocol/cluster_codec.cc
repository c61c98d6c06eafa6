#include "protocol/cluster_codec.h"

#include <string>
#include <utility>

#include "protocol/json_fields.h"

namespace sapphirecrank::protocol {

using nlohmann::json;

namespace {

json EncodeBatchKey(const runs::BatchKey& key) {
  return {{"gateway", ToJson(key.gateway)}, {"job", ToJson(key.job)}, {"part", ToJson(key.batch)}};
}

runs::BatchKey DecodeBatchKey(FieldReader& reader) {
  runs::BatchKey key;
  reader.Read("gateway", key.gateway);
  reader.Read("job", key.job);
  reader.Read("part", key.batch);
  return key;
}

/// Encodes a task key without its job, which the key of the message's batch holds.
json EncodeTaskKey(const runs::JobTaskKey& key) {
  return {{"occurrence", ToJson(key.occurrence)},
          {"step", ToJson(key.step)},
          {"index", ToJson(key.index)}};
}

runs::JobTaskKey DecodeTaskKey(FieldReader& reader, const base::SubmissionId& job) {
  runs::JobTaskKey key;
  key.job = job;
  reader.Read("occurrence", key.occurrence);
  reader.Read("step", key.step);
  reader.Read("index", key.index);
  return key;
}

}  // namespace

json EncodeMessage(const runs::TaskBatch& message) {
  json map = EncodeBatchKey(message.key);
  map["type"] = kTaskBatchType;
  map["service"] = ToJson(message.service);
  map["priority"] = ToJson(message.priority);
  map["attempts"] = ToJson(message.maximum_attempts);
  map["payload"] = BytesToJson(message.payload);
  map["expected_run_time"] = ToJson(message.expected_run_time);
  map["wait_limit"] = ToJson(message.wait_limit);
  map["waited"] = ToJson(message.waited);
  map["time_left"] = ToJson(message.time_left);
  map["stored"] = message.is_stored;
  map["returnable"] = message.can_be_returned;
  map["first_run"] = ToJson(message.first_run_number);
  map["label"] = ToJson(message.placement_rule.required_label);
  map["most_per_target"] = ToJson(message.placement_rule.maximum_tasks_per_target);
  json tasks = json::array();
  for (const runs::BatchTask& task : message.tasks) {
    json entry = EncodeTaskKey(task.key);
    entry["need"] = EncodeResources(task.required_resources);
    tasks.push_back(std::move(entry));
  }
  map["tasks"] = std::move(tasks);
  return map;
}

Message DecodeTaskBatch(FieldReader& reader) {
  runs::TaskBatch message;
  message.key = DecodeBatchKey(reader);
  reader.Read("service", message.service);
  reader.Read("priority", message.priority);
  reader.Read("attempts", message.maximum_attempts);
  message.payload = reader.ReadBytes("payload");
  message.expected_run_time = ReadDuration(reader, "expected_run_time");
  if (reader.Has("waited")) {
    message.waited = ReadDuration(reader, "waited");
  }
  message.wait_limit = ReadDuration(reader, "wait_limit");
  message.time_left = ReadDuration(reader, "time_left");
  message.is_stored = reader.ReadBool("stored");
  message.can_be_returned = reader.ReadBoolOr("returnable", false);
  reader.Read("first_run", message.first_run_number);
  reader.Read("label", message.placement_rule.required_label);
  reader.Read("most_per_target", message.placement_rule.maximum_tasks_per_target);
  message.tasks = DecodeArray<runs::BatchTask>(reader, "tasks", [&message](FieldReader& item) {
    runs::BatchTask task;
    task.key = DecodeTaskKey(item, message.key.job);
    task.required_resources = DecodeResources(item, "need");
    return task;
  });
  return message;
}

json EncodeMessage(const runs::BatchResult& message) {
  json map = EncodeBatchKey(message.key);
  map["type"] = kBatchResultType;
  map["kind"] = EnumToJson(message.outcome);
  map["reason"] = message.reason;
  return map;
}

Message DecodeBatchResult(FieldReader& reader) {
  runs::BatchResult message;
  message.key = DecodeBatchKey(reader);
  message.outcome = reader.ReadEnum("kind", runs::BatchResult::Outcome::kUnfinished);
  message.reason = reader.ReadString("reason");
  return message;
}

json EncodeMessage(const runs::BatchCancel& message) {
  return {{"type", kBatchCancelType}, {"job", ToJson(message.job)}};
}

Message DecodeBatchCancel(FieldReader& reader) {
  runs::BatchCancel message;
  reader.Read("job", message.job);
  return message;
}

json EncodeMessage(const runs::BatchRecall& message) {
  return {
      {"type", kBatchRecallType}, {"job", ToJson(message.job)}, {"part", ToJson(message.batch)}};
}

Message DecodeBatchRecall(FieldReader& reader) {
  runs::BatchRecall message;
  reader.Read("job", message.job);
  reader.Read("part", message.batch);
  return message;
}

json EncodeMessage(const runs::ReturnedTasks& message) {
  json map = EncodeBatchKey(message.key);
  map["type"] = kReturnedTasksType;
  json tasks = json::array();
  for (const runs::ReturnedTasks::Task& task : message.tasks) {
    json entry = EncodeTaskKey(task.key);
    entry["next_run"] = ToJson(task.next_run);
    tasks.push_back(std::move(entry));
  }
  map["tasks"] = std::move(tasks);
  map["ended"] = message.is_batch_ended;
  map["may_have_run"] = message.may_have_run;
  map["reason"] = message.reason;
  return map;
}

Message DecodeReturnedTasks(FieldReader& reader) {
  runs::ReturnedTasks message;
  message.key = DecodeBatchKey(reader);
  message.tasks =
      DecodeArray<runs::ReturnedTasks::Task>(reader, "tasks", [&message](FieldReader& item) {
        runs::ReturnedTasks::Task task;
        task.key = DecodeTaskKey(item, message.key.job);
        item.Read("next_run", task.next_run);
        return task;
      });
  message.is_batch_ended = reader.ReadBool("ended");
  message.may_have_run = reader.ReadBool("may_have_run");
  message.reason = reader.ReadString("reason");
  return message;
}

json EncodeWaitingTasks(const std::vector<runs::WaitingTasks>& waiting_by_priority) {
  json items = json::array();
  for (const runs::WaitingTasks& waiting : waiting_by_priority) {
    items.push_back({{"priority", ToJson(waiting.priority)}, {"count", ToJson(waiting.count)}});
  }
  return items;
}

std::vector<runs::WaitingTasks> DecodeWaitingTasks(FieldReader& reader) {
  return DecodeArray<runs::WaitingTasks>(reader, "waiting_by_priority", [](FieldReader& item) {
    runs::WaitingTasks waiting;
    item.Read("priority", waiting.priority);
    item.Read("count", waiting.count);
    return waiting;
  });
}

json EncodeBlockedTasks(const std::vector<runs::BlockedTasks>& blocked_tasks) {
  json items = json::array();
  for (const runs::BlockedTasks& blocked : blocked_tasks) {
    items.push_back({{"label", ToJson(blocked.requirements.required_label)},
                     {"need", EncodeResources(blocked.requirements.resources)},
                     {"capacity", ToJson(blocked.capacity)},
                     {"waiting_by_priority", EncodeWaitingTasks(blocked.waiting_by_priority)}});
  }
  return items;
}

std::vector<runs::BlockedTasks> DecodeBlockedTasks(FieldReader& reader) {
  if (!reader.Has("blocked")) {
    return {};  // Earlier program versions don't send it.
  }
  return DecodeArray<runs::BlockedTasks>(reader, "blocked", [](FieldReader& item) {
    runs::BlockedTasks blocked;
    item.Read("label", blocked.requirements.required_label);
    blocked.requirements.resources = DecodeResources(item, "need");
    item.Read("capacity", blocked.capacity);
    blocked.waiting_by_priority = DecodeWaitingTasks(item);
    return blocked;
  });
}

json EncodeMessage(const runs::CapacityReport& message) {
  json services = json::array();
  for (const runs::CapacityReport::ServiceCapacity& service : message.service_capacities) {
    services.push_back({{"service", ToJson(service.service)},
                        {"free", ToJson(service.free_task_capacity)},
                        {"total", ToJson(service.total_task_capacity)},
                        {"waiting", ToJson(service.waiting_task_count)},
                        {"waiting_by_priority", EncodeWaitingTasks(service.waiting_by_priority)},
                        {"blocked", EncodeBlockedTasks(service.blocked_tasks)},
                        {"end_interval", ToJson(service.mean_end_interval)}});
  }
  return {{"type", kCapacityReportType},
          {"data_centre", ToJson(message.data_centre)},
          {"leaving", message.is_leaving},
          {"recalls", message.accepts_recalls},
          {"services", std::move(services)}};
}

Message DecodeCapacityReport(FieldReader& reader) {
  runs::CapacityReport message;
  reader.Read("data_centre", message.data_centre);
  message.is_leaving = reader.ReadBool("leaving");
  message.accepts_recalls = reader.ReadBoolOr("recalls", false);
  message.service_capacities =
      DecodeArray<runs::CapacityReport::ServiceCapacity>(reader, "services", [](FieldReader& item) {
        runs::CapacityReport::ServiceCapacity service;
        item.Read("service", service.service);
        item.Read("free", service.free_task_capacity);
        item.Read("total", service.total_task_capacity);
        item.Read("waiting", service.waiting_task_count);
        service.waiting_by_priority = DecodeWaitingTasks(item);
        service.blocked_tasks = DecodeBlockedTasks(item);
        service.mean_end_interval = ReadDuration(item, "end_interval");
        return service;
      });
  return message;
}

json EncodeMessage(const runs::TargetReport& message) {
  json labels = json::array();
  for (const base::LabelId& label : message.labels) {
    labels.push_back({{"label", ToJson(label)}});
  }
  return {{"type", kTargetReportType},
          {"id", ToJson(message.id)},
          {"service", ToJson(message.service)},
          {"address", ToJson(message.address)},
          {"data_centre", ToJson(message.data_centre)},
          {"rack", ToJson(message.rack)},
          {"labels", std::move(labels)},
          {"born", ToJson(message.incarnation)},
          {"report", ToJson(message.sequence_number)},
          {"capacity", EncodeResources(message.capacity)},
          {"clock", ToJson(message.clock)},
          {"cold_time_left", ToJson(message.cold_time_left)},
          {"draining", message.is_draining},
          {"left", message.has_left}};
}

Message DecodeTargetReport(FieldReader& reader) {
  runs::TargetReport message;
  reader.Read("id", message.id);
  reader.Read("service", message.service);
  reader.Read("address", message.address);
  reader.Read("data_centre", message.data_centre);
  reader.Read("rack", message.rack);
  message.labels = DecodeArray<base::LabelId>(reader, "labels", [](FieldReader& item) {
    base::LabelId label;
    item.Read("label", label);
    return label;
  });
  reader.Read("born", message.incarnation);
  reader.Read("report", message.sequence_number);
  message.capacity = DecodeResources(reader, "capacity");
  message.clock = ReadDuration(reader, "clock");
  message.cold_time_left =
      base::Duration(reader.ReadIntegerOr("cold_time_left", 0, INT64_MAX / 2, 0));
  message.is_draining = reader.ReadBool("draining");
  message.has_left = reader.ReadBool("left");
  return message;
}

json EncodeMessage(const cluster::ClusterUpdate& message) {
  json members = json::array();
  for (const cluster::ClusterView::Member& member : message.view.members) {
    members.push_back({{"host", ToJson(member.host)},
                       {"incarnation", ToJson(member.incarnation)},
                       {"data_centre", ToJson(member.data_centre)}});
  }
  json allocators = json::array();
  for (const base::NetworkAddress& address : message.allocator_addresses) {
    allocators.push_back({{"address", ToJson(address)}});
  }
  return {{"type", kClusterUpdateType},
          {"version", ToJson(message.configuration_version)},
          {"epoch", ToJson(message.view.epoch)},
          {"members", std::move(members)},
          {"allocators", std::move(allocators)}};
}

Message DecodeClusterUpdate(FieldReader& reader) {
  cluster::ClusterUpdate message;
  reader.Read("version", message.configuration_version);
  reader.Read("epoch", message.view.epoch);
  message.view.members =
      DecodeArray<cluster::ClusterView::Member>(reader, "members", [](FieldReader& item) {
        cluster::ClusterView::Member member;
        item.Read("host", member.host);
        item.Read("incarnation", member.incarnation);
        item.Read("data_centre", member.data_centre);
        return member;
      });
  message.allocator_addresses =
      DecodeArray<base::NetworkAddress>(reader, "allocators", [](FieldReader& item) {
        base::NetworkAddress address;
        item.Read("address", address);
        return address;
      });
  return message;
}

json EncodeMessage(const cluster::ConfigurationRequest& /*message*/) {
  return {{"type", kConfigurationRequestType}};
}

Message DecodeConfigurationRequest(FieldReader& /*reader*/) {
  return cluster::ConfigurationRequest();
}

json EncodeMessage(const cluster::ConfigurationResponse& message) {
  return {{"type", kConfigurationResponseType},
          {"version", ToJson(message.configuration.version)},
          {"document", BytesToJson(message.configuration.document)}};
}

Message DecodeConfigurationResponse(FieldReader& reader) {
  cluster::ConfigurationResponse message;
  reader.Read("version", message.configuration.version);
  message.configuration.document = reader.ReadBytes("document");
  return message;
}

json EncodeMessage(const cluster::JoinRequest& message) {
  return {{"type", kJoinRequestType}, {"member", ToJson(message.member)}};
}

Message DecodeJoinRequest(FieldReader& reader) {
  cluster::JoinRequest message;
  reader.Read("member", message.member);
  return message;
}

}  // namespace sapphirecrank::protocol
