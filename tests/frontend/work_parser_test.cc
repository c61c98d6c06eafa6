#include "frontend/work_parser.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using Json = nlohmann::json;

namespace {

Json GoodJob() {
  return Json::parse(R"({"submission": "ba:1", "team": "tags", "class": "urgent",
    "deadline_ms": 1000, "tasks": [{"kind": "check", "payload": {"a": [1]}, "run_time_ms": 5,
    "milli_processors": 500, "memory_mib": 64, "accelerators": 1}]})");
}

Json GoodRequest() {
  return Json::parse(R"({"team": "tags", "class": "bulk", "deadline_ms": 10, "kind": "k",
    "payload": null, "run_time_ms": 1, "idempotent": true})");
}

Json GoodAnnouncement() {
  return Json::parse(R"({"id": "w1", "kind": "worker", "address": "127.0.0.1:1",
    "data_centre": "ba", "rack": "r", "slots": 8, "connections": 64, "milli_processors": 16000,
    "memory_mib": 1024, "accelerators": 0, "leaving": false, "running": ["x"]})");
}

/// Returns the faulty field that `parse` names, or nothing if it accepts the document.
template <typename Function>
std::string FieldOf(Function parse, const std::string& body) {
  const auto result = parse(body);
  if (result.has_value()) {
    return "";
  }
  RC_ASSERT(!result.error().field.empty());
  RC_ASSERT(result.error().verdict == base::ExecutionVerdict::kNotRun);
  return result.error().field;
}

template <typename Function>
void CheckDamaged(Function parse, const Json& good) {
  const bool holds = rc::check([&] {
    std::string text = good.dump();
    const auto changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes; ++i) {
      text[*rc::gen::inRange<size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    }
    text.resize(*rc::gen::inRange<size_t>(text.size() / 2, text.size() + 1));
    FieldOf(parse, text);
  });
  CHECK_TRUE(holds);
}

/// Replaces one field by a value of a type that no field but "payload" takes.
template <typename Function>
void CheckWrongTypes(Function parse, const Json& good) {
  std::vector<std::string> names;
  for (const auto& item : good.items()) {
    if (item.key() != "payload") {
      names.push_back(item.key());
    }
  }
  const bool holds = rc::check([&] {
    Json document = good;
    const std::string name = *rc::gen::elementOf(names);
    document[name] = *rc::gen::elementOf(
        std::vector<Json>{nullptr, -1.5, Json::object(), 1e300, "", -7, 99999999999999LL});
    RC_ASSERT(FieldOf(parse, document.dump()) == name);
  });
  CHECK_TRUE(holds);
}

}  // namespace

TEST_GROUP(WorkParser){};

// Guards against a crash or an unnamed fault for damaged bodies from outside.
TEST(WorkParser, DamagedBodiesGiveANamedFault) {
  CheckDamaged(frontend::ParseJob, GoodJob());
  CheckDamaged(frontend::ParseRequest, GoodRequest());
  CheckDamaged(frontend::ParseAnnouncement, GoodAnnouncement());
}

// Guards against a field of the wrong type or out of range that is accepted.
TEST(WorkParser, WrongTypesGiveTheFieldsName) {
  CheckWrongTypes(frontend::ParseJob, GoodJob());
  CheckWrongTypes(frontend::ParseRequest, GoodRequest());
  CheckWrongTypes(frontend::ParseAnnouncement, GoodAnnouncement());
}

// Guards against good work that is refused or loses its values.
TEST(WorkParser, GoodWorkIsRead) {
  const auto job = frontend::ParseJob(GoodJob().dump());
  CHECK_TRUE(job.has_value());
  STRCMP_EQUAL("{\"a\":[1]}", job->tasks.at(0).payload.c_str());
  CHECK(job->priority_class == base::PriorityClass::kUrgent);
  CHECK_TRUE(frontend::ParseRequest(GoodRequest().dump())->tasks.at(0).idempotent);
  CHECK_TRUE(frontend::ParseAnnouncement(GoodAnnouncement().dump()).has_value());
}

// Guards against faults inside a task that don't say which task it is, and against 201 tasks.
TEST(WorkParser, FaultsInTasksNameTheTask) {
  Json job = GoodJob();
  job["tasks"].push_back({{"memory", 5}});
  STRCMP_EQUAL("tasks[1].memory", frontend::ParseJob(job.dump()).error().field.c_str());
  job["tasks"] = Json::array();
  for (size_t i = 0; i <= 200; ++i) {
    job["tasks"].push_back(Json::object());
  }
  STRCMP_EQUAL("tasks", frontend::ParseJob(job.dump()).error().field.c_str());
}
