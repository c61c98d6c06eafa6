#include "entryhost/entry_host.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "tests/entryhost/cluster.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using testing::Cluster;
using Json = nlohmann::json;

namespace {

/// Returns the maximum number of starts of one payload.
int MaximumStartCount(const std::vector<std::string>& started_payloads) {
  std::map<std::string, int> counts;
  int maximum = 0;
  for (const std::string& payload : started_payloads) {
    maximum = std::max(maximum, ++counts[payload]);
  }
  return maximum;
}

/// Tells whether the response shows an ended job: complete, or failed with a verdict for each task.
bool HasEnded(const Cluster::Response& response) {
  const Json body = Json::parse(response.body, nullptr, false);
  return body.is_object() && body.contains("state") &&
         (body["state"] == "complete" || !body["tasks"].empty());
}

/// Returns the results of a job of `Cluster::MakeJobBody`.
Json ExpectedResults(int task_count) {
  Json results = Json::array();
  for (int i = 0; i < task_count; ++i) {
    results.push_back(i);
  }
  return results;
}

}  // namespace

TEST_GROUP(EntryHost){};

// Guards against partial or wrong results and against second starts of tasks when the same job is
// submitted to all hosts at once and again after its end.
TEST(EntryHost, ResubmissionToEveryHostRunsTheJobOnce) {
  constexpr int kTasks = 60;
  Cluster cluster(3, 3, 0);
  const std::string job = cluster.MakeJobBody(cluster.NewSubmissionId(), kTasks, 50);
  std::vector<Cluster::Response> responses(3);
  std::vector<std::thread> callers;
  callers.reserve(3);
  for (size_t host = 0; host < 3; ++host) {
    callers.emplace_back([&, host] { responses[host] = cluster.Post(host, "/v1/jobs", job); });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  responses.push_back(cluster.Post(1, "/v1/jobs", job));
  for (const Cluster::Response& response : responses) {
    LONGS_EQUAL_TEXT(200, response.status, response.body.c_str());
    CHECK(Json::parse(response.body)["results"] == ExpectedResults(kTasks));
  }
  LONGS_EQUAL(kTasks, cluster.StartedPayloads().size());
  LONGS_EQUAL(1, MaximumStartCount(cluster.StartedPayloads()));
}

// Guards against lost jobs, partial results and second starts of tasks when an entry host is killed
// while many jobs run and their callers resubmit them to the other hosts.
TEST(EntryHost, KilledHostLosesNoJobAndStartsNoTaskTwice) {
  constexpr int kJobs = 12;
  constexpr int kTasks = 10;
  Cluster cluster(3, 3, 0);
  std::vector<std::string> jobs;
  jobs.reserve(kJobs);
  for (int i = 0; i < kJobs; ++i) {
    jobs.push_back(cluster.MakeJobBody(cluster.NewSubmissionId(), kTasks, 100));
  }
  std::vector<Cluster::Response> responses(kJobs);
  std::vector<std::thread> callers;
  callers.reserve(kJobs);
  for (int i = 0; i < kJobs; ++i) {
    callers.emplace_back([&, i] {
      responses[i] = cluster.Post(i % 3, "/v1/jobs", jobs[i]);
      // Resubmits the job to the live hosts until it has ended.
      for (int attempt = 0; attempt < 100 && !HasEnded(responses[i]); ++attempt) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        responses[i] = cluster.Post(1 + attempt % 2, "/v1/jobs", jobs[i]);
      }
    });
  }
  while (cluster.StartedPayloads().size() < kJobs) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  cluster.KillHost(0);
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (const Cluster::Response& response : responses) {
    const Json body = Json::parse(response.body, nullptr, false);
    CHECK_TRUE(HasEnded(response));
    if (response.status == 200) {
      CHECK(body["results"] == ExpectedResults(kTasks));
    } else {
      CHECK(body["error"]["verdict"] != "not run");
    }
  }
  LONGS_EQUAL(1, MaximumStartCount(cluster.StartedPayloads()));
}

// Guards against a drain under load that fails accepted requests or reports "not run" for requests
// that have run.
TEST(EntryHost, DrainUnderLoadFailsNoAcceptedRequest) {
  constexpr int kCallers = 8;
  Cluster cluster(2, 2, 2);
  std::atomic<bool> stop{false};
  std::atomic<int> complete{0};
  std::atomic<int> rejected{0};
  std::atomic<int> unexpected{0};
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      for (int i = 0; !stop; ++i) {
        const std::string key = std::to_string(caller) + "-" + std::to_string(i);
        const Cluster::Response response =
            cluster.Post(0, "/v1/requests",
                         R"({"team":"tags","payload":{"sleep_ms":20,"echo":")" + key + R"("}})");
        if (response.status == 200 && response.body == "\"" + key + "\"") {
          ++complete;
        } else if (response.status == 503 &&
                   Json::parse(response.body)["error"]["verdict"] == "not run") {
          ++rejected;
        } else if (response.status != 0) {
          ++unexpected;
        } else {
          return;  // The drained host has stopped listening.
        }
      }
    });
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  cluster.DrainHost(0);
  stop = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  LONGS_EQUAL(0, unexpected);
  CHECK_TRUE(complete > 0);
  LONGS_EQUAL(complete, cluster.StartedPayloads().size());
}

// Guards against invalid input that starts a task, and against an error that doesn't name the field
// or has another verdict than "not run".
TEST(EntryHost, RejectsInvalidInputAsNotRunAndNamesTheField) {
  Cluster cluster(1, 1, 1);
  const std::vector<std::pair<std::string, std::string>> invalid_inputs = {
      {R"({"team":"nobody","submission":"ba:1-1","tasks":[{}]})", "team"},
      {R"({"team":"tags","submission":"ba:1-1","tasks":[{}],"colour":1})", "colour"},
      {R"({"team":"tags","submission":"ba:1-1","tasks":[{"memory_mib":-1}]})",
       "tasks[0].memory_mib"},
      {R"({"team":"tags","submission":"ba:1-1","tasks":[]})", "tasks"},
      {R"({"team":"tags","submission":"ba:1-1","tasks":"x"})", "tasks"},
      {R"({"team":"tags","submission":"ba:1-1","tasks":[{}],"deadline_ms":0})", "deadline_ms"},
      {cluster.MakeJobBody("ba:1-1", 201, 0), "tasks"},
      {"{", "body"}};
  for (const auto& [body, field] : invalid_inputs) {
    const Cluster::Response response = cluster.Post(0, "/v1/jobs", body);
    LONGS_EQUAL(400, response.status);
    const Json error = Json::parse(response.body)["error"];
    STRCMP_EQUAL(field.c_str(), error["field"].get<std::string>().c_str());
    CHECK(error["verdict"] == "not run");
  }
  LONGS_EQUAL(0, cluster.StartedPayloads().size());
}
