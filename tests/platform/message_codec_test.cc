#include "platform/message_codec.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using Json = nlohmann::json;
using runs::TargetCallStatus;

namespace {

Json MakeHeartbeat() {
  return Json::parse(
      R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":8,"state":"ready","coldLeftMs":0,)"
      R"("capacity":{"cpu":16000,"memMb":32768,"gpus":0},"labels":["a","r1-3"],"clockMs":482,"seq":4,)"
      R"("born":17,"unknown":[1]})");
}

Json MakeConfiguration() {
  return Json::parse(
      R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","timeoutMs":1500,)"
      R"("sloMs":60,"priority":2,"service":"s","maxAttempts":3,"stretch":1.6}],)"
      R"("services":[{"name":"s","healthPath":"/health"}]})");
}

}  // namespace

TEST_GROUP(PlatformMessageCodec){};

// Guards against fields of a heartbeat that are mixed up or decoded with a wrong unit.
TEST(PlatformMessageCodec, DecodesHeartbeat) {
  const auto report = platform::DecodeTargetReport("i-1", MakeHeartbeat().dump());
  CHECK_TRUE(report.has_value());
  STRCMP_EQUAL("i-1", report->id.value().c_str());
  STRCMP_EQUAL("r1-3", report->rack.value().c_str());
  CHECK(report->capacity.processors == base::MilliCores(16000));
  CHECK(report->capacity.memory == base::ByteCount(32768LL * 1024 * 1024));
  CHECK(report->incarnation == base::Incarnation(17));
  CHECK(report->clock == std::chrono::milliseconds(482));
  CHECK_FALSE(report->is_draining);
}

// Guards against targets that count as warm, or cold for another time, right after their start, and
// against targets that aren't registered because they leave the field out.
TEST(PlatformMessageCodec, DecodesTheColdTimeOfATarget) {
  Json heartbeat = MakeHeartbeat();
  CHECK(platform::DecodeTargetReport("i-1", heartbeat.dump())->cold_time_left == base::Duration(0));
  heartbeat["coldLeftMs"] = 4200;
  CHECK(platform::DecodeTargetReport("i-1", heartbeat.dump())->cold_time_left ==
        std::chrono::milliseconds(4200));
  heartbeat.erase("coldLeftMs");
  CHECK(platform::DecodeTargetReport("i-1", heartbeat.dump())->cold_time_left == base::Duration(0));
}

// Guards against targets that are registered from malformed or incompatible heartbeats.
TEST(PlatformMessageCodec, RejectsMalformedHeartbeats) {
  CHECK_FALSE(platform::DecodeTargetReport("i-1", "\x01\xff").has_value());
  for (const char* field : {"service", "address", "seq", "clockMs", "state", "capacity"}) {
    Json missing = MakeHeartbeat();
    missing.erase(field);
    CHECK_FALSE(platform::DecodeTargetReport("i-1", missing.dump()).has_value());
    Json wrong_type = MakeHeartbeat();
    wrong_type[field] = Json::array();
    CHECK_FALSE(platform::DecodeTargetReport("i-1", wrong_type.dump()).has_value());
  }
  Json unknown_state = MakeHeartbeat();
  unknown_state["state"] = "asleep";
  CHECK_FALSE(platform::DecodeTargetReport("i-1", unknown_state.dump()).has_value());
}

// Pattern: odd entry of another writer. Guards against an entry that ends the process, that makes a
// target with impossible resources attract all work, or that blocks later reports of the same id.
TEST(PlatformMessageCodec, RejectsOddHeartbeats) {
  const Json odd_fields = {{{"address", "10.0.0.9:65536"}},
                           {{"address", "10.0.0.9:0"}},
                           {{"address", "10.0.0.9:-1"}},
                           {{"address", "10.0.0.9"}},
                           {{"address", "host:80"}},
                           {{"address", "10.0.0.9:80/x"}},
                           {{"seq", ~0ULL}},
                           {{"seq", 1e300}},
                           {{"seq", 1LL << 62U}},
                           {{"clockMs", 1LL << 62U}},
                           {{"born", ~0ULL}},
                           {{"born", 1LL << 62U}},
                           {{"born", "x"}},
                           {{"coldLeftMs", -1}},
                           {{"coldLeftMs", 1.5}},
                           {{"coldLeftMs", "x"}},
                           {{"coldLeftMs", 1LL << 62U}},
                           {{"service", "a b"}},
                           {{"service", std::string(300, 's')}},
                           {{"capacity", {{"cpu", 1LL << 62U}}}},
                           {{"capacity", {{"cpu", -1}}}},
                           {{"capacity", {{"cpu", 1000}, {"memMb", 1LL << 50U}}}},
                           {{"capacity", {{"cpu", 1000}, {"gpus", 1LL << 33U}}}}};
  for (const Json& odd_field : odd_fields) {
    Json heartbeat = MakeHeartbeat();
    heartbeat.update(odd_field);
    CHECK_FALSE_TEXT(platform::DecodeTargetReport("i-1", heartbeat.dump()).has_value(),
                     odd_field.dump().c_str());
  }
  const std::string body = MakeHeartbeat().dump();
  CHECK_FALSE(platform::DecodeTargetReport("i-1\r\nX: y", body).has_value());
  CHECK_FALSE(platform::DecodeTargetReport("\xff", body).has_value());
  CHECK_FALSE(platform::DecodeTargetReport("i-1", R"({"seq":1e999})").has_value());
  Json nested = MakeHeartbeat();
  nested["unknown"] = Json::parse(std::string(100, '[') + std::string(100, ']'));
  CHECK_FALSE(platform::DecodeTargetReport("i-1", nested.dump()).has_value());
  CHECK_FALSE(platform::DecodeTargetReport("i-1", std::string(4UL * 1024 * 1024, '[')).has_value());
}

// Guards against a job whose id or resources end an allocator with an exception, or free capacity
// on a target instead of using it.
TEST(PlatformMessageCodec, RejectsOddJobs) {
  CHECK_TRUE(platform::DecodeJobId("5c0e7a21d94b36f8").has_value());
  for (const char* id : {"", "\xff", "a b", "a\r\n"}) {
    CHECK_FALSE(platform::DecodeJobId(id).has_value());
  }
  for (const char* resources : {R"("cpu":-1)", R"("memMb":9223372036854775807)", R"("gpus":1e9)",
                                R"("cpu":18446744073709551615)", R"("cpu":"x")"}) {
    const std::string body =
        std::string(R"({"spec":"s","bestEffort":true,"steps":[{"count":1,)") + resources + "}]}";
    CHECK_FALSE_TEXT(platform::DecodeJob(body).has_value(), resources);
  }
  const auto job = platform::DecodeJob(
      R"({"steps":[{"count":1,"cpu":1000,"estRuntimeMs":9223372036854775807}]})");
  CHECK_TRUE(job.has_value());
  CHECK(job->steps[0].estimated_run_time <= std::chrono::hours(24 * 30));
}

// Guards against an exception for a text that isn't UTF-8 while a request is encoded.
TEST(PlatformMessageCodec, EncodesTextThatIsNotUtf8) {
  runs::StartRequest request;
  request.key.task.job = base::SubmissionId("\xff");
  request.payload = std::make_shared<const std::string>("\xfe");
  CHECK_FALSE(platform::EncodeStartRequest(request).empty());
}

// Guards against an invalid configuration that is accepted.
TEST(PlatformMessageCodec, RejectsInvalidConfigurations) {
  CHECK_TRUE(platform::DecodeConfiguration(MakeConfiguration().dump()).has_value());
  const std::string complete = MakeConfiguration().dump();
  CHECK_FALSE(platform::DecodeConfiguration(complete.substr(0, complete.size() / 2)).has_value());
  Json unknown_service = MakeConfiguration();
  unknown_service["routes"][0]["service"] = "t";
  CHECK_FALSE(platform::DecodeConfiguration(unknown_service.dump()).has_value());
  Json duplicate_route = MakeConfiguration();
  duplicate_route["routes"].push_back(duplicate_route["routes"][0]);
  CHECK_FALSE(platform::DecodeConfiguration(duplicate_route.dump()).has_value());
  Json zero_timeout = MakeConfiguration();
  zero_timeout["routes"][0]["timeoutMs"] = 0;
  CHECK_FALSE(platform::DecodeConfiguration(zero_timeout.dump()).has_value());
}

// Guards against a configuration that is returned differently from how it was sent, and against
// queues with other values than the document's.
TEST(PlatformMessageCodec, KeepsConfigurationDocument) {
  const std::string document = MakeConfiguration().dump(3);
  const auto record = platform::DecodeConfiguration(document);
  CHECK(record->version == base::Version(7));
  STRCMP_EQUAL(document.c_str(), record->document.c_str());
  const auto catalog = platform::DecodeCatalog(*record);
  const cluster::Queue* queue = catalog->FindQueue("h", "/p/0123");
  CHECK(queue != nullptr);
  CHECK(queue->maximum_attempts == base::AttemptCount(3));
  CHECK(queue->latency_objective == std::chrono::milliseconds(60));
  CHECK(catalog->FindQueue("other", "/p/0123") == nullptr);
}

// Guards against a limit of bodies that the configuration names and gateways don't apply, and
// against a configuration without limits, or with other values there, that is rejected.
TEST(PlatformMessageCodec, ReadsTheLimitOfBodies) {
  Json configuration = MakeConfiguration();
  configuration["limits"] = {{"maxBodyBytes", 262144}, {"maxHeaderBytes", 16384}};
  auto record = platform::DecodeConfiguration(configuration.dump());
  CHECK(platform::DecodeCatalog(*record)->maximum_body_size == base::ByteCount(262144));
  for (const Json& limits : {Json(nullptr), Json::object(), Json(3),
                             Json({{"maxBodyBytes", "many"}}), Json({{"maxBodyBytes", 0}})}) {
    configuration["limits"] = limits;
    record = platform::DecodeConfiguration(configuration.dump());
    CHECK_TRUE(record.has_value());
    CHECK_FALSE(platform::DecodeCatalog(*record)->maximum_body_size.has_value());
  }
}

// Guards against jobs that are accepted although they need features that aren't implemented.
TEST(PlatformMessageCodec, RejectsJobsWithUnsupportedFeatures) {
  const std::string simple_job =
      R"({"spec":"x","bestEffort":true,"steps":[{"count":4,"cpu":500,"memMb":256}]})";
  const auto job = platform::DecodeJob(simple_job);
  CHECK_TRUE(job.has_value());
  CHECK(job->steps[0].task_count == base::TaskCount(4));
  for (const char* feature : {"gang", "fills"}) {
    Json with_feature = Json::parse(simple_job);
    with_feature["steps"][0][feature] = true;
    const auto rejected = platform::DecodeJob(with_feature.dump());
    CHECK_FALSE(rejected.has_value());
    CHECK(rejected.error().code == base::ErrorCode::kUnavailable);
  }
  Json repeated_job = Json::parse(simple_job);
  repeated_job["repeats"] = 3;
  CHECK(platform::DecodeJob(repeated_job.dump()).error().code == base::ErrorCode::kUnavailable);
  CHECK(platform::DecodeJob("[]").error().code == base::ErrorCode::kInvalidArgument);
}

// Guards against a job that is acknowledged before it is stored, and against storing a best-effort
// job.
TEST(PlatformMessageCodec, StoresJobsUnlessBestEffort) {
  const auto stored_job = platform::DecodeJob(R"({"spec":"x","steps":[{"count":4,"cpu":500}]})");
  CHECK_TRUE(stored_job.has_value());
  CHECK_TRUE(stored_job->is_stored);
  const auto best_effort_job =
      platform::DecodeJob(R"({"bestEffort":true,"steps":[{"count":4,"cpu":500}]})");
  CHECK_FALSE(best_effort_job->is_stored);
}

// Guards against tasks on targets that their step rules out, and against long-running tasks in jobs
// that aren't stored: their callers would wait indefinitely.
TEST(PlatformMessageCodec, DecodesPlacementOfSteps) {
  const auto job = platform::DecodeJob(
      R"({"steps":[{"count":4,"cpu":500,"requires":"b","antiAffinity":2,"longRunning":true}]})");
  CHECK_TRUE(job.has_value());
  CHECK(job->steps[0].placement_rule.required_label == base::LabelId("b"));
  CHECK(job->steps[0].placement_rule.maximum_tasks_per_target == base::TaskCount(2));
  CHECK_TRUE(job->steps[0].is_long_running);
  CHECK_FALSE(platform::DecodeJob(R"({"bestEffort":true,"steps":[{"count":4,"longRunning":true}]})")
                  .has_value());
}

// Guards against a step that depends on itself or on a later one.
TEST(PlatformMessageCodec, RejectsDependencyOnSameOrLaterStep) {
  CHECK_FALSE(
      platform::DecodeJob(R"({"bestEffort":true,"steps":[{"count":1,"after":[0]},{"count":1}]})")
          .has_value());
}

// Guards against start requests that a target decodes differently.
TEST(PlatformMessageCodec, EncodesStartRequest) {
  runs::StartRequest request;
  request.target.fencing_token = base::FencingToken(7);
  request.key.task = {base::SubmissionId("0123456789abcdef"), base::OccurrenceNumber(0),
                      base::StepIndex(1), base::TaskIndex(17)};
  request.key.run = base::RunNumber(2);
  request.payload = std::make_shared<const std::string>("text");
  request.lease_end = std::chrono::milliseconds(486000);
  CHECK(Json::parse(platform::EncodeStartRequest(request)) ==
        Json::parse(R"({"task":"0123456789abcdef.0.1.17","runId":2,"spec":"text",)"
                    R"("deadlineMs":486000,"fenceToken":7})"));
}

// Guards against a request that counts as refused although it may have been carried out.
TEST(PlatformMessageCodec, DecodesTargetCallResponses) {
  const auto status_of = [](int status, const char* body) {
    return platform::DecodeTargetCallResponse(status, body).status;
  };
  CHECK(status_of(200, R"({"clockMs":5})") == TargetCallStatus::kAccepted);
  CHECK(status_of(409, R"({"reason":"fence"})") == TargetCallStatus::kFenced);
  CHECK(status_of(409, R"({"reason":"old"})") == TargetCallStatus::kStaleRunNumber);
  CHECK(status_of(409, R"({"reason":"late"})") == TargetCallStatus::kLeaseExpired);
  CHECK(status_of(409, R"({"reason":"room"})") == TargetCallStatus::kInsufficientCapacity);
  CHECK(status_of(421, "") == TargetCallStatus::kIncarnationMismatch);
  CHECK(status_of(503, "") == TargetCallStatus::kUnhealthy);
  CHECK(status_of(500, "") == TargetCallStatus::kNoResponse);
  CHECK(status_of(502, "") == TargetCallStatus::kNoResponse);
  CHECK(*platform::DecodeTargetCallResponse(200, R"({"clockMs":5})").target_clock ==
        std::chrono::milliseconds(5));
}

// Guards against runs that count as gone because a row of a list was decoded incorrectly.
TEST(PlatformMessageCodec, DecodesRunLists) {
  const auto response = platform::DecodePollResponse(
      200, R"({"clockMs":482113,"born":9,"active":[["5c0e.0.1.17",2,"c",41,5]],)"
           R"("finished":[[58,"5c0e.0.1.9",1,"done",""],[59,"5c0e.0.1.8",3,"lapsed",""]]})");
  CHECK(response.status == TargetCallStatus::kAccepted);
  CHECK(response.run_list.incarnation == base::Incarnation(9));
  CHECK(response.run_list.active_runs[0].key.task.index == base::TaskIndex(17));
  CHECK(response.run_list.active_runs[0].key.run == base::RunNumber(2));
  CHECK(response.run_list.finished_runs[0].sequence_number == base::SequenceNumber(58));
  CHECK(response.run_list.finished_runs[1].outcome == runs::FinishedRun::Outcome::kLeaseExpired);
  for (const char* malformed :
       {R"({"clockMs":1,"active":[["5c0e.0.17",2,"",41]],"finished":[]})",
        R"({"clockMs":1,"active":[],"finished":[[1,"5c0e.0.1.9",1,"lost",""]]})",
        R"({"clockMs":1,"active":[]})", R"({"active":[],"finished":[]})", "x"}) {
    CHECK(platform::DecodePollResponse(200, malformed).status == TargetCallStatus::kNoResponse);
  }
}
