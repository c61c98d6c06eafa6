// Measures what an entry host adds to a direct call of a target:
// overhead ENTRY_HOST RUNNER_ADDRESS TEAM

#include <curl/curl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <map>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "bench/load/percentile.h"

using sapphirecrank::load::Percentile;

namespace {

/// Returns the time since 1970, with which the ids of jobs begin.
int64_t SubmissionTimestamp() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

constexpr int kWarmUpRequestPairs = 200;
constexpr int kRequestPairs = 5000;
constexpr int kJobThreadCount = 4;
constexpr int kTasksPerJob = 200;
constexpr auto kJobPhaseDuration = std::chrono::seconds(8);
constexpr double kMaximumWastedShare = 0.02;
constexpr const char* kStartsMetric = "sapphirecrank_task_starts_total";
constexpr const char* kMessagesMetric = "sapphirecrank_messages_total";
constexpr const char* kWastedMessagesMetric = "sapphirecrank_wasted_messages_total";

size_t AppendBody(char* data, size_t size, size_t count, void* user) {
  static_cast<std::string*>(user)->append(data, size * count);
  return size * count;
}

/// One connection that is used again for each call.
class Connection {
 public:
  explicit Connection(const std::string& url)
      : curl_handle(curl_easy_init()), headers(curl_slist_append(nullptr, "Expect:")) {
    this->headers = curl_slist_append(this->headers, "Sapphirecrank-Task: direct");
    curl_easy_setopt(this->curl_handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(this->curl_handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(this->curl_handle, CURLOPT_PROXY, "");
    curl_easy_setopt(this->curl_handle, CURLOPT_HTTPHEADER, this->headers);
    curl_easy_setopt(this->curl_handle, CURLOPT_WRITEFUNCTION, &AppendBody);
    curl_easy_setopt(this->curl_handle, CURLOPT_WRITEDATA, &this->response_body);
  }
  ~Connection() {
    curl_easy_cleanup(this->curl_handle);
    curl_slist_free_all(this->headers);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Returns the answer's body; ends the program if there is no good answer.
  const std::string& Get() { return this->Perform(); }
  const std::string& Post(const std::string& text) {
    curl_easy_setopt(this->curl_handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(text.size()));
    curl_easy_setopt(this->curl_handle, CURLOPT_POSTFIELDS, text.c_str());
    return this->Perform();
  }

 private:
  const std::string& Perform() {
    this->response_body.clear();
    const CURLcode code = curl_easy_perform(this->curl_handle);
    long status = 0;
    curl_easy_getinfo(this->curl_handle, CURLINFO_RESPONSE_CODE, &status);
    if (code != CURLE_OK || status != 200) {
      fmt::print(stderr, "no good answer: {}, status {}: {}\n", curl_easy_strerror(code), status,
                 this->response_body);
      std::exit(1);
    }
    return this->response_body;
  }

  CURL* curl_handle;
  curl_slist* headers;
  std::string response_body;
};

/// Returns the sum of all series of each metric.
std::map<std::string, double> ReadMetrics(const std::string& entry_host) {
  Connection connection("http://" + entry_host + "/metrics");
  std::istringstream stream(connection.Get());
  std::map<std::string, double> sums;
  for (std::string line; std::getline(stream, line);) {
    if (!line.empty() && line.front() != '#') {
      sums[line.substr(0, line.find_first_of("{ "))] += std::stod(line.substr(line.rfind(' ')));
    }
  }
  return sums;
}

double MeasurePostMicroseconds(Connection& connection, const std::string& text) {
  const auto begin = std::chrono::steady_clock::now();
  connection.Post(text);
  const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - begin;
  return elapsed.count();
}

/// Calls the runner directly and through the entry host in turn.
void MeasureOverhead(const std::string& entry_host, const std::string& runner,
                     const std::string& team) {
  Connection direct("http://" + runner + "/run");
  Connection dispatched("http://" + entry_host + "/v1/requests");
  const std::string payload = R"({"echo":1})";
  const std::string request =
      R"({"team":")" + team + R"(","class":"urgent","payload":)" + payload + "}";
  std::vector<double> direct_us;
  std::vector<double> dispatched_us;
  for (int i = 0; i < kWarmUpRequestPairs + kRequestPairs; ++i) {
    const double one = MeasurePostMicroseconds(direct, payload);
    const double other = MeasurePostMicroseconds(dispatched, request);
    if (i >= kWarmUpRequestPairs) {
      direct_us.push_back(one);
      dispatched_us.push_back(other);
    }
  }
  fmt::print("{} pairs of one call each, interleaved:\n", kRequestPairs);
  for (const double share : {0.5, 0.99}) {
    const double one = Percentile(direct_us, share);
    const double other = Percentile(dispatched_us, share);
    fmt::print("  p{:.0f}: direct {:.0f} us, through the entry host {:.0f} us, ratio {:.2f}\n",
               share * 100, one, other, other / one);
  }
}

std::string MakeJob(const std::string& team, uint64_t number) {
  std::string tasks;
  for (int i = 0; i < kTasksPerJob; ++i) {
    tasks += i == 0 ? "{\"milli_processors\":1}" : ",{\"milli_processors\":1}";
  }
  return fmt::format(R"({{"submission":"{}-overhead-{}-{}","team":"{}","tasks":[{}]}})",
                     SubmissionTimestamp(), getpid(), number, team, tasks);
}

/// Submits jobs of empty tasks from several threads, and prints starts a second and messages.
void MeasureJobs(const std::string& entry_host, const std::string& team) {
  const std::map<std::string, double> before = ReadMetrics(entry_host);
  std::atomic<uint64_t> next{0};
  const auto begin = std::chrono::steady_clock::now();
  std::vector<std::thread> threads;
  threads.reserve(kJobThreadCount);
  for (int i = 0; i < kJobThreadCount; ++i) {
    threads.emplace_back([&] {
      Connection connection("http://" + entry_host + "/v1/jobs");
      while (std::chrono::steady_clock::now() - begin < kJobPhaseDuration) {
        connection.Post(MakeJob(team, next++));
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
  std::map<std::string, double> after = ReadMetrics(entry_host);
  const auto grown = [&](const char* name) {
    const auto old = before.find(name);
    return after[name] - (old == before.end() ? 0 : old->second);
  };
  const double starts = grown(kStartsMetric);
  const double messages = grown(kMessagesMetric);
  const double wasted = messages > 0 ? grown(kWastedMessagesMetric) / messages : 0;
  fmt::print("{} jobs of {} empty tasks from {} callers: {:.0f} task starts/s, ", next.load(),
             kTasksPerJob, kJobThreadCount, starts / elapsed.count());
  fmt::print("{:.3f} messages for each task\n", messages / starts);
  fmt::print("TARGET wasted_messages {:.4f} {} {}\n", wasted, kMaximumWastedShare,
             wasted <= kMaximumWastedShare ? "ok" : "short");
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    fmt::print(stderr, "usage: overhead ENTRY_HOST RUNNER_ADDRESS TEAM\n");
    return 2;
  }
  curl_global_init(CURL_GLOBAL_DEFAULT);
  MeasureOverhead(argv[1], argv[2], argv[3]);
  MeasureJobs(argv[1], argv[3]);
  return 0;
}
