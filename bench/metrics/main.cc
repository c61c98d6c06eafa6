// Measures the cost of recording and exporting metrics: bench_metrics [CALLS]

#include <fmt/format.h>

#include <string>
#include <thread>
#include <vector>

#include "observability/request_metrics.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int kDefaultCallCount = 1000000;
constexpr int kTeamCount = 550;

std::vector<base::TeamId> MakeTeams() {
  std::vector<base::TeamId> teams;
  teams.reserve(kTeamCount);
  for (int i = 0; i < kTeamCount; ++i) {
    teams.emplace_back(fmt::format("team-{}", i));
  }
  return teams;
}

/// Returns the nanoseconds that each of `thread_count` threads needs to record one start and one
/// complete response.
double MeasureRecording(int thread_count, int call_count, bool uses_one_team) {
  const std::vector<base::TeamId> teams = MakeTeams();
  observability::RequestMetrics metrics(teams);
  const auto begin = std::chrono::steady_clock::now();
  std::vector<std::thread> threads;
  threads.reserve(static_cast<size_t>(thread_count));
  for (int thread_index = 0; thread_index < thread_count; ++thread_index) {
    threads.emplace_back([&, thread_index] {
      for (int i = 0; i < call_count; ++i) {
        const base::TeamId& team = teams[uses_one_team ? 0 : (i * 7 + thread_index) % kTeamCount];
        metrics.OnTaskStart(team, base::PriorityClass::kOrdinary,
                            std::chrono::microseconds(i % 90));
        metrics.OnCompleteResponse(team, base::PriorityClass::kOrdinary,
                                   std::chrono::milliseconds(i % 900),
                                   std::chrono::milliseconds(100));
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - begin;
  return elapsed.count() / call_count;
}

void MeasureTextExport() {
  const std::vector<base::TeamId> teams = MakeTeams();
  observability::RequestMetrics metrics(teams);
  for (const base::TeamId& team : teams) {
    for (base::PriorityClass priority_class :
         {base::PriorityClass::kUrgent, base::PriorityClass::kOrdinary,
          base::PriorityClass::kBulk}) {
      metrics.OnTaskStart(team, priority_class, std::chrono::milliseconds(1));
    }
  }
  const auto begin = std::chrono::steady_clock::now();
  const size_t size = metrics.PrometheusText().size();
  const std::chrono::duration<double, std::milli> elapsed =
      std::chrono::steady_clock::now() - begin;
  fmt::print("text export of {} teams in 3 classes: {} bytes in {:.0f} ms\n", kTeamCount, size,
             elapsed.count());
}

}  // namespace

int main(int argc, char** argv) {
  const int call_count = argc > 1 ? std::stoi(argv[1]) : kDefaultCallCount;
  for (int thread_count : {1, 4}) {
    fmt::print("{} threads, {} teams: {:.0f} ns for a start and a response\n", thread_count,
               kTeamCount, MeasureRecording(thread_count, call_count, false));
    fmt::print("{} threads, 1 team: {:.0f} ns for a start and a response\n", thread_count,
               MeasureRecording(thread_count, call_count, true));
  }
  MeasureTextExport();
  return 0;
}
