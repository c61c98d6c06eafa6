// Measures the overhead of a call through an entry host over a direct call of a target, and the
// rate and the messages of task starts in jobs:
// bench_overhead ENTRY_HOST RUNNER_ADDRESS TEAM

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

/// Returns the milliseconds since 1970, with which submission ids begin.
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

/// A connection that is reused for all calls to one URL.
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

  /// Returns the body of the response; ends the program unless the status is 200.
  const std::string& Get() { return this->Perform(); }
  /// Sends `request_body`; returns and ends as `Get` does.
  const std::string& Post(const std::string& request_body) {
    curl_easy_setopt(this->curl_handle, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(request_body.size()));
    curl_easy_setopt(this->curl_handle, CURLOPT_POSTFIELDS, request_body.c_str());
    return this->Perform();
  }

 private:
  const std::string& Perform() {
    this->response_body.clear();
    const CURLcode code = curl_easy_perform(this->curl_handle);
    long status = 0;
    curl_easy_getinfo(this->curl_handle, CURLINFO_RESPONSE_CODE, &status);
    if (code != CURLE_OK || status != 200) {
      fmt::print(stderr, "request failed: {}, status {}: {}\n", curl_easy_strerror(code), status,
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

double MeasurePostMicroseconds(Connection& connection, const std::string& request_body) {
  const auto begin = std::chrono::steady_clock::now();
  connection.Post(request_body);
  const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - begin;
  return elapsed.count();
}

/// Calls the runner alternately directly and through the entry host, and prints both times.
void MeasureOverhead(const std::string& entry_host, const std::string& runner_address,
                     const std::string& team) {
  Connection direct("http://" + runner_address + "/run");
  Connection dispatched("http://" + entry_host + "/v1/requests");
  const std::string payload = R"({"echo":1})";
  const std::string request =
      R"({"team":")" + team + R"(","class":"urgent","payload":)" + payload + "}";
  std::vector<double> direct_us;
  std::vector<double> dispatched_us;
  for (int i = 0; i < kWarmUpRequestPairs + kRequestPairs; ++i) {
    const double direct_time = MeasurePostMicroseconds(direct, payload);
    const double dispatched_time = MeasurePostMicroseconds(dispatched, request);
    if (i >= kWarmUpRequestPairs) {
      direct_us.push_back(direct_time);
      dispatched_us.push_back(dispatched_time);
    }
  }
  fmt::print("{} pairs of a direct and a dispatched call:\n", kRequestPairs);
  for (const double share : {0.5, 0.99}) {
    const double direct_percentile = Percentile(direct_us, share);
    const double dispatched_percentile = Percentile(dispatched_us, share);
    fmt::print("  p{:.0f}: direct {:.0f} us, through the entry host {:.0f} us, ratio {:.2f}\n",
               share * 100, direct_percentile, dispatched_percentile,
               dispatched_percentile / direct_percentile);
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

/// Submits jobs of empty tasks from several threads, and prints the starts per second, the messages
/// per task and the share of wasted messages.
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
  const auto increase_of = [&](const char* name) {
    const auto found = before.find(name);
    return after[name] - (found == before.end() ? 0 : found->second);
  };
  const double starts = increase_of(kStartsMetric);
  const double messages = increase_of(kMessagesMetric);
  const double wasted_share = messages > 0 ? increase_of(kWastedMessagesMetric) / messages : 0;
  fmt::print("{} jobs of {} empty tasks from {} callers: {:.0f} task starts/s, ", next.load(),
             kTasksPerJob, kJobThreadCount, starts / elapsed.count());
  fmt::print("{:.3f} messages per task\n", messages / starts);
  fmt::print("TARGET wasted_messages {:.4f} {} {}\n", wasted_share, kMaximumWastedShare,
             wasted_share <= kMaximumWastedShare ? "ok" : "short");
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    fmt::print(stderr, "usage: bench_overhead ENTRY_HOST RUNNER_ADDRESS TEAM\n");
    return 2;
  }
  curl_global_init(CURL_GLOBAL_DEFAULT);
  MeasureOverhead(argv[1], argv[2], argv[3]);
  MeasureJobs(argv[1], argv[3]);
  return 0;
}
