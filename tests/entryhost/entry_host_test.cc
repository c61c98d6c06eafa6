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

/// Returns how often the most started payload was started.
int MostStarts(const std::vector<std::string>& started) {
  std::map<std::string, int> counts;
  int most = 0;
  for (const std::string& payload : started) {
    most = std::max(most, ++counts[payload]);
  }
  return most;
}

/// Tells whether an answer is that of a job: complete, or failed with a verdict for each task.
bool HasEnded(const Cluster::Answer& answer) {
  const Json body = Json::parse(answer.body, nullptr, false);
  return body.is_object() && body.contains("state") &&
         (body["state"] == "complete" || !body["tasks"].empty());
}

Json ExpectedResults(int tasks) {
  Json results = Json::array();
  for (int i = 0; i < tasks; ++i) {
    results.push_back(i);
  }
  return results;
}

}  // namespace

TEST_GROUP(EntryHost){};

// Guards against a partial or wrong answer, and against second starts when the same job is
// submitted to every host at once and again when it is done.
TEST(EntryHost, ResubmissionToEveryHostRunsTheJobOnce) {
  constexpr int kTasks = 60;
  Cluster cluster(3, 3, 0);
  const std::string job = cluster.Job(cluster.NewId(), kTasks, 50);
  std::vector<Cluster::Answer> answers(3);
  std::vector<std::thread> callers;
  callers.reserve(3);
  for (size_t host = 0; host < 3; ++host) {
    callers.emplace_back([&, host] { answers[host] = cluster.Post(host, "/v1/jobs", job); });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  answers.push_back(cluster.Post(1, "/v1/jobs", job));
  for (const Cluster::Answer& answer : answers) {
    LONGS_EQUAL_TEXT(200, answer.status, answer.body.c_str());
    CHECK(Json::parse(answer.body)["results"] == ExpectedResults(kTasks));
  }
  LONGS_EQUAL(kTasks, cluster.Started().size());
  LONGS_EQUAL(1, MostStarts(cluster.Started()));
}

// Guards against a lost job, a partial answer or a second start when an entry host dies in the
// middle of many jobs and callers resubmit to the others.
TEST(EntryHost, DeathOfAHostLosesNoJobAndStartsNothingTwice) {
  constexpr int kJobs = 12;
  constexpr int kTasks = 10;
  Cluster cluster(3, 3, 0);
  std::vector<std::string> jobs;
  jobs.reserve(kJobs);
  for (int i = 0; i < kJobs; ++i) {
    jobs.push_back(cluster.Job(cluster.NewId(), kTasks, 100));
  }
  std::vector<Cluster::Answer> answers(kJobs);
  std::vector<std::thread> callers;
  callers.reserve(kJobs);
  for (int i = 0; i < kJobs; ++i) {
    callers.emplace_back([&, i] {
      answers[i] = cluster.Post(i % 3, "/v1/jobs", jobs[i]);
      // A resubmission to a live host until the job has ended there.
      for (int attempt = 0; attempt < 100 && !HasEnded(answers[i]); ++attempt) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        answers[i] = cluster.Post(1 + attempt % 2, "/v1/jobs", jobs[i]);
      }
    });
  }
  while (cluster.Started().size() < kJobs) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  cluster.Kill(0);
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (const Cluster::Answer& answer : answers) {
    const Json body = Json::parse(answer.body, nullptr, false);
    CHECK_TRUE(HasEnded(answer));
    if (answer.status == 200) {
      CHECK(body["results"] == ExpectedResults(kTasks));
    } else {
      CHECK(body["error"]["verdict"] != "not run");
    }
  }
  LONGS_EQUAL(1, MostStarts(cluster.Started()));
}

// Guards against requests and jobs that a graceful shutdown under load cuts, and against a false
// "not run" during it.
TEST(EntryHost, DrainUnderLoadCutsNothing) {
  constexpr int kCallers = 8;
  Cluster cluster(2, 2, 2);
  std::atomic<bool> stop{false};
  std::atomic<int> complete{0};
  std::atomic<int> refused{0};
  std::atomic<int> wrong{0};
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      for (int i = 0; !stop; ++i) {
        const std::string key = std::to_string(caller) + "-" + std::to_string(i);
        const Cluster::Answer answer =
            cluster.Post(0, "/v1/requests",
                         R"({"team":"tags","payload":{"sleep_ms":20,"echo":")" + key + R"("}})");
        if (answer.status == 200 && answer.body == "\"" + key + "\"") {
          ++complete;
        } else if (answer.status == 503 &&
                   Json::parse(answer.body)["error"]["verdict"] == "not run") {
          ++refused;
        } else if (answer.status != 0) {
          ++wrong;
        } else {
          return;  // The drained host no longer listens.
        }
      }
    });
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  cluster.Drain(0);
  stop = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  LONGS_EQUAL(0, wrong);
  CHECK_TRUE(complete > 0);
  LONGS_EQUAL(complete, cluster.Started().size());
}

// Guards against bad input that starts something or is answered without the field's name.
TEST(EntryHost, BadInputIsRefusedAsNotRunWithTheField) {
  Cluster cluster(1, 1, 1);
  const std::vector<std::pair<std::string, std::string>> bad = {
      {R"({"team":"nobody","submission":"ba:1-1","tasks":[{}]})", "team"},
      {R"({"team":"tags","submission":"ba:1-1","tasks":[{}],"colour":1})", "colour"},
      {R"({"team":"tags","submission":"ba:1-1","tasks":[{"memory_mib":-1}]})",
       "tasks[0].memory_mib"},
      {R"({"team":"tags","submission":"ba:1-1","tasks":[]})", "tasks"},
      {R"({"team":"tags","submission":"ba:1-1","tasks":"x"})", "tasks"},
      {R"({"team":"tags","submission":"ba:1-1","tasks":[{}],"deadline_ms":0})", "deadline_ms"},
      {cluster.Job("ba:1-1", 201, 0), "tasks"},
      {"{", "body"}};
  for (const auto& [body, field] : bad) {
    const Cluster::Answer answer = cluster.Post(0, "/v1/jobs", body);
    LONGS_EQUAL(400, answer.status);
    const Json error = Json::parse(answer.body)["error"];
    STRCMP_EQUAL(field.c_str(), error["field"].get<std::string>().c_str());
    CHECK(error["verdict"] == "not run");
  }
  LONGS_EQUAL(0, cluster.Started().size());
}
