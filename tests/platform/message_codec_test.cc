#include "platform/message_codec.h"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>
#include <string>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using Json = nlohmann::json;
using runs::TargetCallStatus;

namespace {

Json Beat() {
  return Json::parse(
      R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":8,"state":"ready","coldLeftMs":0,)"
      R"("capacity":{"cpu":16000,"memMb":32768,"gpus":0},"labels":["a","r1-3"],"clockMs":482,"seq":4,)"
      R"("born":17,"unknown":[1]})");
}

Json Configuration() {
  return Json::parse(
      R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","timeoutMs":1500,)"
      R"("sloMs":60,"priority":2,"service":"s","maxAttempts":3,"stretch":1.6}],)"
      R"("services":[{"name":"s","healthPath":"/health"}]})");
}

}  // namespace

TEST_GROUP(PlatformWire){};

// Guards against fields of a heartbeat that are read as others.
TEST(PlatformWire, ReadsHeartbeats) {
  const auto report = platform::DecodeTargetReport("i-1", Beat().dump());
  CHECK_TRUE(report.has_value());
  STRCMP_EQUAL("i-1", report->id.value().c_str());
  STRCMP_EQUAL("r1-3", report->rack.value().c_str());
  CHECK(report->capacity.processors == base::MilliCores(16000));
  CHECK(report->capacity.memory == base::ByteCount(32768LL * 1024 * 1024));
  CHECK(report->incarnation == base::Incarnation(17));
  CHECK(report->clock == std::chrono::milliseconds(482));
  CHECK_FALSE(report->is_draining);
}

// Guards against targets made up from heartbeats of another writer.
TEST(PlatformWire, ForeignHeartbeatsNameNoTarget) {
  CHECK_FALSE(platform::DecodeTargetReport("i-1", "\x01\xff").has_value());
  for (const char* field : {"service", "address", "seq", "clockMs", "state", "capacity"}) {
    Json missing = Beat();
    missing.erase(field);
    CHECK_FALSE(platform::DecodeTargetReport("i-1", missing.dump()).has_value());
    Json other = Beat();
    other[field] = Json::array();
    CHECK_FALSE(platform::DecodeTargetReport("i-1", other.dump()).has_value());
  }
  Json state = Beat();
  state["state"] = "asleep";
  CHECK_FALSE(platform::DecodeTargetReport("i-1", state.dump()).has_value());
}

// Guards against an invalid configuration that is acknowledged.
TEST(PlatformWire, RefusesInvalidConfigurations) {
  CHECK_TRUE(platform::DecodeConfiguration(Configuration().dump()).has_value());
  const std::string whole = Configuration().dump();
  CHECK_FALSE(platform::DecodeConfiguration(whole.substr(0, whole.size() / 2)).has_value());
  Json unknown_service = Configuration();
  unknown_service["routes"][0]["service"] = "t";
  CHECK_FALSE(platform::DecodeConfiguration(unknown_service.dump()).has_value());
  Json same_place = Configuration();
  same_place["routes"].push_back(same_place["routes"][0]);
  CHECK_FALSE(platform::DecodeConfiguration(same_place.dump()).has_value());
  Json no_timeout = Configuration();
  no_timeout["routes"][0]["timeoutMs"] = 0;
  CHECK_FALSE(platform::DecodeConfiguration(no_timeout.dump()).has_value());
}

// Guards against a configuration that is read back otherwise than it was sent.
TEST(PlatformWire, KeepsTheDocumentOfAConfiguration) {
  const std::string text = Configuration().dump(3);
  const auto record = platform::DecodeConfiguration(text);
  CHECK(record->version == base::Version(7));
  STRCMP_EQUAL(text.c_str(), record->document.c_str());
  const auto catalog = platform::DecodeCatalog(*record);
  const cluster::Queue* queue = catalog->FindQueue("h", "/p/0123");
  CHECK(queue != nullptr);
  CHECK(queue->maximum_attempts == base::AttemptCount(3));
  CHECK(queue->latency_objective == std::chrono::milliseconds(60));
  CHECK(catalog->FindQueue("other", "/p/0123") == nullptr);
}

// Guards against jobs that are accepted with less than they ask for.
TEST(PlatformWire, RefusesJobsThatAskForWhatIsNotBuilt) {
  const std::string simple =
      R"({"spec":"x","bestEffort":true,"steps":[{"count":4,"cpu":500,"memMb":256}]})";
  const auto job = platform::DecodeJob(simple);
  CHECK_TRUE(job.has_value());
  CHECK(job->steps[0].task_count == base::TaskCount(4));
  for (const char* feature : {"gang", "fills"}) {
    Json asked = Json::parse(simple);
    asked["steps"][0][feature] = true;
    const auto refused = platform::DecodeJob(asked.dump());
    CHECK_FALSE(refused.has_value());
    CHECK(refused.error().code == base::ErrorCode::kUnavailable);
  }
  Json repeated = Json::parse(simple);
  repeated["repeats"] = 3;
  CHECK(platform::DecodeJob(repeated.dump()).error().code == base::ErrorCode::kUnavailable);
  CHECK(platform::DecodeJob("[]").error().code == base::ErrorCode::kInvalidArgument);
}

// Guards against a job that is answered before it is stored, or stored though nobody needs it.
TEST(PlatformWire, StoresJobsUnlessTheyNeedNotBe) {
  const auto kept = platform::DecodeJob(R"({"spec":"x","steps":[{"count":4,"cpu":500}]})");
  CHECK_TRUE(kept.has_value());
  CHECK_TRUE(kept->is_stored);
  const auto held = platform::DecodeJob(R"({"bestEffort":true,"steps":[{"count":4,"cpu":500}]})");
  CHECK_FALSE(held->is_stored);
}

// Guards against tasks on targets that their step rules out, and against tasks that last and are
// answered as if they ended.
TEST(PlatformWire, ReadsWhatStepsAskOfTargets) {
  const auto job = platform::DecodeJob(
      R"({"steps":[{"count":4,"cpu":500,"requires":"b","antiAffinity":2,"longRunning":true}]})");
  CHECK_TRUE(job.has_value());
  CHECK(job->steps[0].placement_rule.required_label == base::LabelId("b"));
  CHECK(job->steps[0].placement_rule.maximum_tasks_per_target == base::TaskCount(2));
  CHECK_TRUE(job->steps[0].is_long_running);
  CHECK_FALSE(platform::DecodeJob(R"({"bestEffort":true,"steps":[{"count":4,"longRunning":true}]})")
                  .has_value());
}

// Guards against a step that waits for itself or for a later one.
TEST(PlatformWire, StepsFollowEarlierStepsOnly) {
  CHECK_FALSE(
      platform::DecodeJob(R"({"bestEffort":true,"steps":[{"count":1,"after":[0]},{"count":1}]})")
          .has_value());
}

// Guards against orders that a target reads as others.
TEST(PlatformWire, WritesOrders) {
  runs::StartRequest order;
  order.target.fencing_token = base::FencingToken(7);
  order.key.task = {base::SubmissionId("0123456789abcdef"), base::OccurrenceNumber(0),
                    base::StepIndex(1), base::TaskIndex(17)};
  order.key.run = base::RunNumber(2);
  order.payload = std::make_shared<const std::string>("text");
  order.lease_end = std::chrono::milliseconds(486000);
  CHECK(Json::parse(platform::EncodeStartRequest(order)) ==
        Json::parse(R"({"task":"0123456789abcdef.0.1.17","runId":2,"spec":"text",)"
                    R"("deadlineMs":486000,"fenceToken":7})"));
}

// Guards against an order that counts as refused although it may have been carried out.
TEST(PlatformWire, ReadsAnswersToOrders) {
  const auto outcome = [](int status, const char* body) {
    return platform::DecodeTargetCallResponse(status, body).status;
  };
  CHECK(outcome(200, R"({"clockMs":5})") == TargetCallStatus::kAccepted);
  CHECK(outcome(409, R"({"reason":"fence"})") == TargetCallStatus::kFenced);
  CHECK(outcome(409, R"({"reason":"old"})") == TargetCallStatus::kStaleRunNumber);
  CHECK(outcome(409, R"({"reason":"late"})") == TargetCallStatus::kLeaseExpired);
  CHECK(outcome(409, R"({"reason":"room"})") == TargetCallStatus::kInsufficientCapacity);
  CHECK(outcome(421, "") == TargetCallStatus::kIncarnationMismatch);
  CHECK(outcome(503, "") == TargetCallStatus::kUnhealthy);
  CHECK(outcome(500, "") == TargetCallStatus::kNoResponse);
  CHECK(outcome(502, "") == TargetCallStatus::kNoResponse);
  CHECK(*platform::DecodeTargetCallResponse(200, R"({"clockMs":5})").target_clock ==
        std::chrono::milliseconds(5));
}

// Guards against runs that count as gone because a row of a list was misread.
TEST(PlatformWire, ReadsListsOfRuns) {
  const auto answer = platform::DecodePollResponse(
      200, R"({"clockMs":482113,"born":9,"active":[["5c0e.0.1.17",2,"c",41,5]],)"
           R"("finished":[[58,"5c0e.0.1.9",1,"done",""],[59,"5c0e.0.1.8",3,"lapsed",""]]})");
  CHECK(answer.status == TargetCallStatus::kAccepted);
  CHECK(answer.run_list.incarnation == base::Incarnation(9));
  CHECK(answer.run_list.active_runs[0].key.task.index == base::TaskIndex(17));
  CHECK(answer.run_list.active_runs[0].key.run == base::RunNumber(2));
  CHECK(answer.run_list.finished_runs[0].sequence_number == base::SequenceNumber(58));
  CHECK(answer.run_list.finished_runs[1].outcome == runs::FinishedRun::Outcome::kLeaseExpired);
  for (const char* unreadable :
       {R"({"clockMs":1,"active":[["5c0e.0.17",2,"",41]],"finished":[]})",
        R"({"clockMs":1,"active":[],"finished":[[1,"5c0e.0.1.9",1,"lost",""]]})",
        R"({"clockMs":1,"active":[]})", R"({"active":[],"finished":[]})", "x"}) {
    CHECK(platform::DecodePollResponse(200, unreadable).status == TargetCallStatus::kNoResponse);
  }
}
