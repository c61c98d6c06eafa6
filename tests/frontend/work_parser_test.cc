#include "frontend/work_parser.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using Json = nlohmann::json;

namespace {

Json ValidJob() {
  return Json::parse(R"({"submission": "ba:1", "team": "tags", "class": "urgent",
    "deadline_ms": 1000, "tasks": [{"kind": "check", "payload": {"a": [1]}, "run_time_ms": 5,
    "milli_processors": 500, "memory_mib": 64, "accelerators": 1}]})");
}

Json ValidRequest() {
  return Json::parse(R"({"team": "tags", "class": "bulk", "deadline_ms": 10, "kind": "k",
    "payload": null, "run_time_ms": 1, "idempotent": true})");
}

Json ValidAnnouncement() {
  return Json::parse(R"({"id": "w1", "kind": "worker", "address": "127.0.0.1:1",
    "data_centre": "ba", "rack": "r", "slots": 8, "connections": 64, "milli_processors": 16000,
    "memory_mib": 1024, "accelerators": 0, "leaving": false, "running": ["x"]})");
}

/// Returns the invalid field that `parse` names, or an empty string if it accepts the document.
template <typename Function>
std::string InvalidField(Function parse, const std::string& body) {
  const auto result = parse(body);
  if (result.has_value()) {
    return "";
  }
  RC_ASSERT(!result.error().field.empty());
  RC_ASSERT(result.error().verdict == base::ExecutionVerdict::kNotRun);
  return result.error().field;
}

template <typename Function>
void CheckDamagedDocuments(Function parse, const Json& valid) {
  const bool holds = rc::check([&] {
    std::string text = valid.dump();
    const auto change_count = *rc::gen::inRange(1, 6);
    for (int i = 0; i < change_count; ++i) {
      text[*rc::gen::inRange<size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    }
    text.resize(*rc::gen::inRange<size_t>(text.size() / 2, text.size() + 1));
    InvalidField(parse, text);
  });
  CHECK_TRUE(holds);
}

/// Replaces one field by a value that no field but "payload" accepts, and checks that the error
/// names it.
template <typename Function>
void CheckWrongTypes(Function parse, const Json& valid) {
  std::vector<std::string> names;
  for (const auto& item : valid.items()) {
    if (item.key() != "payload") {
      names.push_back(item.key());
    }
  }
  const bool holds = rc::check([&] {
    Json document = valid;
    const std::string name = *rc::gen::elementOf(names);
    document[name] = *rc::gen::elementOf(
        std::vector<Json>{nullptr, -1.5, Json::object(), 1e300, "", -7, 99999999999999LL});
    RC_ASSERT(InvalidField(parse, document.dump()) == name);
  });
  CHECK_TRUE(holds);
}

}  // namespace

TEST_GROUP(WorkParser){};

// Guards against a crash on damaged request bodies, and against errors that don't name the field.
TEST(WorkParser, ErrorsForDamagedBodiesNameAField) {
  CheckDamagedDocuments(frontend::ParseJob, ValidJob());
  CheckDamagedDocuments(frontend::ParseRequest, ValidRequest());
  CheckDamagedDocuments(frontend::ParseAnnouncement, ValidAnnouncement());
}

// Guards against a field of the wrong type or out of range that is accepted.
TEST(WorkParser, ErrorsForWrongTypesNameTheField) {
  CheckWrongTypes(frontend::ParseJob, ValidJob());
  CheckWrongTypes(frontend::ParseRequest, ValidRequest());
  CheckWrongTypes(frontend::ParseAnnouncement, ValidAnnouncement());
}

// Guards against valid work that is rejected or whose values are lost.
TEST(WorkParser, ValidWorkIsParsed) {
  const auto job = frontend::ParseJob(ValidJob().dump());
  CHECK_TRUE(job.has_value());
  STRCMP_EQUAL("{\"a\":[1]}", job->tasks.at(0).payload.c_str());
  CHECK(job->priority_class == base::PriorityClass::kUrgent);
  CHECK_TRUE(frontend::ParseRequest(ValidRequest().dump())->tasks.at(0).idempotent);
  CHECK_TRUE(frontend::ParseAnnouncement(ValidAnnouncement().dump()).has_value());
}

// Guards against errors inside a task that don't name the task, and against a job of 201 tasks.
TEST(WorkParser, ErrorsInTasksNameTheTask) {
  Json job = ValidJob();
  job["tasks"].push_back({{"memory", 5}});
  STRCMP_EQUAL("tasks[1].memory", frontend::ParseJob(job.dump()).error().field.c_str());
  job["tasks"] = Json::array();
  for (size_t i = 0; i <= 200; ++i) {
    job["tasks"].push_back(Json::object());
  }
  STRCMP_EQUAL("tasks", frontend::ParseJob(job.dump()).error().field.c_str());
}
