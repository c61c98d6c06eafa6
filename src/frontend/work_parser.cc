#include "frontend/work_parser.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "json/document_parser.h"
#include "json/object_reader.h"

namespace sapphirecrank::frontend {

using base::Error;
using json::ObjectReader;
using Json = nlohmann::json;

namespace {

constexpr size_t kMaximumNameBytes = 128;
constexpr int64_t kMaximumDeadlineMilliseconds = 3600LL * 1000;
constexpr int64_t kDefaultDeadlineMilliseconds = 30LL * 1000;
constexpr int64_t kDefaultMilliProcessors = 1000;
constexpr int64_t kMaximumMilliProcessors = 1024LL * 1000;
constexpr int64_t kBytesPerMebibyte = 1024LL * 1024;
constexpr int64_t kMaximumMemoryMebibytes = 64LL * 1024 * 1024;
constexpr int64_t kMaximumAccelerators = 64;
constexpr int64_t kMaximumSlots = 4096;
constexpr size_t kMaximumRunningAttempts = 8192;

base::Duration Milliseconds(int64_t count) { return std::chrono::milliseconds(count); }

base::Resources ReadResources(ObjectReader& reader, int64_t default_milli_processors) {
  base::Resources resources;
  resources.processors = base::MilliCores(
      reader.ReadInteger("milli_processors", 0, kMaximumMilliProcessors, default_milli_processors));
  resources.memory = base::ByteCount(
      reader.ReadInteger("memory_mib", 0, kMaximumMemoryMebibytes, 0) * kBytesPerMebibyte);
  resources.accelerators = base::AcceleratorCount(
      static_cast<int32_t>(reader.ReadInteger("accelerators", 0, kMaximumAccelerators, 0)));
  return resources;
}

SubmittedTask ReadTaskFields(ObjectReader& reader) {
  SubmittedTask task;
  task.kind = base::TaskKind(reader.ReadString("kind", kMaximumNameBytes, "default"));
  task.declared_run_time =
      Milliseconds(reader.ReadInteger("run_time_ms", 0, kMaximumDeadlineMilliseconds, 0));
  task.payload = reader.ReadAny("payload").dump();
  return task;
}

void ReadCommonFields(ObjectReader& reader, SubmittedWork& work) {
  work.team = base::TeamId(reader.ReadString("team", kMaximumNameBytes));
  const auto parsed_class =
      base::ParsePriorityClass(reader.ReadString("class", kMaximumNameBytes, "ordinary"));
  if (!parsed_class) {
    reader.RecordError("class", parsed_class.error().message);
  } else {
    work.priority_class = *parsed_class;
  }
  work.time_limit = Milliseconds(reader.ReadInteger("deadline_ms", 1, kMaximumDeadlineMilliseconds,
                                                    kDefaultDeadlineMilliseconds));
}

/// Parses a JSON document and reads the fields of its object with `read_fields`.
template <typename ParsedType, typename Function>
base::Result<ParsedType> ReadDocument(const std::string& body, Function read_fields) {
  const Json document = json::ParseDocument(body);
  if (document.is_discarded()) {
    return base::MakeErrorResult(base::ErrorCode::kInvalidArgument,
                                 "the request body is not valid JSON", "body");
  }
  std::optional<Error> error;
  ObjectReader reader(document, "", error);
  ParsedType parsed = read_fields(reader, error);
  reader.RejectUnknownFields();
  if (error) {
    return tl::make_unexpected(*error);
  }
  return parsed;
}

}  // namespace

base::Result<SubmittedWork> ParseJob(const std::string& body) {
  return ReadDocument<SubmittedWork>(body, [](ObjectReader& reader, std::optional<Error>& error) {
    SubmittedWork work;
    work.submission = base::SubmissionId(reader.ReadString("submission", kMaximumNameBytes));
    ReadCommonFields(reader, work);
    reader.ReadArray(
        "tasks", 1, kMaximumTasksPerJob, [&](const Json& element, const std::string& path) {
          ObjectReader task_reader(element, path, error);
          SubmittedTask task = ReadTaskFields(task_reader);
          task.declared_resources = ReadResources(task_reader, kDefaultMilliProcessors);
          task_reader.RejectUnknownFields();
          work.tasks.push_back(std::move(task));
        });
    return work;
  });
}

base::Result<SubmittedWork> ParseRequest(const std::string& body) {
  return ReadDocument<SubmittedWork>(body,
                                     [](ObjectReader& reader, std::optional<Error>& /*error*/) {
                                       SubmittedWork work;
                                       work.target_kind = base::TargetKind::kRunner;
                                       ReadCommonFields(reader, work);
                                       SubmittedTask task = ReadTaskFields(reader);
                                       task.idempotent = reader.ReadBool("idempotent", false);
                                       work.tasks.push_back(std::move(task));
                                       return work;
                                     });
}

base::Result<targets::TargetAnnouncement> ParseAnnouncement(const std::string& body) {
  using targets::TargetAnnouncement;
  return ReadDocument<TargetAnnouncement>(body, [](ObjectReader& reader,
                                                   std::optional<Error>& /*error*/) {
    TargetAnnouncement announcement;
    announcement.id = base::TargetId(reader.ReadString("id", kMaximumNameBytes));
    const auto kind = base::ParseTargetKind(reader.ReadString("kind", kMaximumNameBytes));
    if (!kind) {
      reader.RecordError("kind", kind.error().message);
    } else {
      announcement.kind = *kind;
    }
    announcement.address = base::NetworkAddress(reader.ReadString("address", kMaximumNameBytes));
    announcement.data_centre =
        base::DataCentreId(reader.ReadString("data_centre", kMaximumNameBytes));
    announcement.rack = base::RackId(reader.ReadString("rack", kMaximumNameBytes, "none"));
    announcement.slots =
        base::SlotCount(static_cast<int32_t>(reader.ReadInteger("slots", 1, kMaximumSlots)));
    announcement.connections = base::ConnectionCount(
        static_cast<int32_t>(reader.ReadInteger("connections", 1, kMaximumSlots)));
    announcement.capacity = ReadResources(reader, 0);
    announcement.leaving = reader.ReadBool("leaving", false);
    reader.ReadArray("running", 0, kMaximumRunningAttempts,
                     [&](const Json& element, const std::string&) {
                       if (!element.is_string()) {
                         reader.RecordError("running", "must contain only strings");
                         return;
                       }
                       announcement.running_attempts.emplace_back(element.get<std::string>());
                     });
    return announcement;
  });
}

}  // namespace sapphirecrank::frontend
