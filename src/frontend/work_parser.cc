#include "frontend/work_parser.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "json/object_reader.h"

namespace sapphirecrank::frontend {

using base::Error;
using json::ObjectReader;
using Json = nlohmann::json;

namespace {

constexpr size_t kLongestName = 128;
constexpr int64_t kLongestDeadlineMs = 3600LL * 1000;
constexpr int64_t kDefaultDeadlineMs = 30LL * 1000;
constexpr int64_t kDefaultMilliProcessors = 1000;
constexpr int64_t kMostMilliProcessors = 1024LL * 1000;
constexpr int64_t kBytesOfMebibyte = 1024LL * 1024;
constexpr int64_t kMostMebibytes = 64LL * 1024 * 1024;
constexpr int64_t kMostAccelerators = 64;
constexpr int64_t kMostSlots = 4096;
constexpr size_t kMostRunning = 8192;

base::Duration Milliseconds(int64_t count) { return std::chrono::milliseconds(count); }

base::Resources ReadResources(ObjectReader& reader, int64_t default_processors) {
  base::Resources resources;
  resources.processors = base::MilliCores(
      reader.Integer("milli_processors", 0, kMostMilliProcessors, default_processors));
  resources.memory =
      base::ByteCount(reader.Integer("memory_mib", 0, kMostMebibytes, 0) * kBytesOfMebibyte);
  resources.accelerators = base::AcceleratorCount(
      static_cast<int32_t>(reader.Integer("accelerators", 0, kMostAccelerators, 0)));
  return resources;
}

CallerTask ReadTask(ObjectReader& reader) {
  CallerTask task;
  task.kind = base::TaskKind(reader.Text("kind", kLongestName, "default"));
  task.declared_run_time = Milliseconds(reader.Integer("run_time_ms", 0, kLongestDeadlineMs, 0));
  task.payload = reader.Any("payload").dump();
  return task;
}

void ReadCommon(ObjectReader& reader, CallerWork& work) {
  work.team = base::TeamId(reader.Text("team", kLongestName));
  const auto work_class = base::ParseWorkClass(reader.Text("class", kLongestName, "ordinary"));
  if (!work_class) {
    reader.SetFault("class", work_class.error().message);
  } else {
    work.work_class = *work_class;
  }
  work.deadline =
      Milliseconds(reader.Integer("deadline_ms", 1, kLongestDeadlineMs, kDefaultDeadlineMs));
}

/// Parses a document and reads its object with `read`.
template <typename Value, typename Function>
base::Result<Value> ReadDocument(const std::string& body, Function read) {
  const Json document = Json::parse(body, nullptr, false);
  if (document.is_discarded()) {
    return base::Fail(base::ErrorCode::kInvalidArgument, "the body is not valid JSON", "body");
  }
  std::optional<Error> error;
  ObjectReader reader(document, "", error);
  Value value = read(reader, error);
  reader.Finish();
  if (error) {
    return tl::make_unexpected(*error);
  }
  return value;
}

}  // namespace

base::Result<CallerWork> ParseJob(const std::string& body) {
  return ReadDocument<CallerWork>(body, [](ObjectReader& reader, std::optional<Error>& error) {
    CallerWork work;
    work.submission = base::SubmissionId(reader.Text("submission", kLongestName));
    ReadCommon(reader, work);
    reader.Array("tasks", 1, kMaximumTasks, [&](const Json& element, const std::string& path) {
      ObjectReader item(element, path, error);
      CallerTask task = ReadTask(item);
      task.declared = ReadResources(item, kDefaultMilliProcessors);
      item.Finish();
      work.tasks.push_back(std::move(task));
    });
    return work;
  });
}

base::Result<CallerWork> ParseRequest(const std::string& body) {
  return ReadDocument<CallerWork>(body, [](ObjectReader& reader, std::optional<Error>& /*error*/) {
    CallerWork work;
    work.target_kind = base::TargetKind::kRunner;
    ReadCommon(reader, work);
    CallerTask task = ReadTask(reader);
    task.idempotent = reader.Flag("idempotent", false);
    work.tasks.push_back(std::move(task));
    return work;
  });
}

base::Result<targets::TargetAnnouncement> ParseAnnouncement(const std::string& body) {
  using targets::TargetAnnouncement;
  return ReadDocument<TargetAnnouncement>(body, [](ObjectReader& reader,
                                                   std::optional<Error>& /*error*/) {
    TargetAnnouncement announcement;
    announcement.id = base::TargetId(reader.Text("id", kLongestName));
    const auto kind = base::ParseTargetKind(reader.Text("kind", kLongestName));
    if (!kind) {
      reader.SetFault("kind", kind.error().message);
    } else {
      announcement.kind = *kind;
    }
    announcement.address = base::NetworkAddress(reader.Text("address", kLongestName));
    announcement.data_centre = base::DataCentreId(reader.Text("data_centre", kLongestName));
    announcement.rack = base::RackId(reader.Text("rack", kLongestName, "none"));
    announcement.slots =
        base::SlotCount(static_cast<int32_t>(reader.Integer("slots", 1, kMostSlots)));
    announcement.connections =
        base::ConnectionCount(static_cast<int32_t>(reader.Integer("connections", 1, kMostSlots)));
    announcement.capacity = ReadResources(reader, 0);
    announcement.leaving = reader.Flag("leaving", false);
    reader.Array("running", 0, kMostRunning, [&](const Json& element, const std::string&) {
      if (!element.is_string()) {
        reader.SetFault("running", "must hold strings");
        return;
      }
      announcement.running_attempts.emplace_back(element.get<std::string>());
    });
    return announcement;
  });
}

}  // namespace sapphirecrank::frontend
