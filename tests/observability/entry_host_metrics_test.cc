#include "observability/entry_host_metrics.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <thread>
#include <vector>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::PriorityClass;
using base::TeamId;
using observability::EntryHostMetrics;
using std::chrono::milliseconds;

namespace {

bool Has(const EntryHostMetrics& metrics, const std::string& line) {
  return metrics.PrometheusText().find(line) != std::string::npos;
}

}  // namespace

TEST_GROUP(EntryHostMetrics){};

// Guards against answers that are counted for the wrong team or class, or with a wrong ratio.
TEST(EntryHostMetrics, CompleteAnswersAreCountedForTheirTeamAndClass) {
  EntryHostMetrics metrics({TeamId("tags"), TeamId("maps")});
  metrics.OnCompleteResponse(TeamId("tags"), PriorityClass::kUrgent, milliseconds(110),
                             milliseconds(100));
  CHECK_TRUE(
      Has(metrics, "sapphirecrank_response_seconds_count{class=\"urgent\",team=\"tags\"} 1"));
  CHECK_TRUE(Has(metrics, "sapphirecrank_slowdown_ratio_sum{class=\"urgent\",team=\"tags\"} 1.1"));
  CHECK_FALSE(Has(metrics, "team=\"maps\""));
}

// Guards against a caller that fills the memory with label values of its own.
TEST(EntryHostMetrics, UnknownAndSurplusTeamsShareOneSeries) {
  std::vector<TeamId> teams;
  for (size_t i = 0; i <= EntryHostMetrics::kMaximumTeams; ++i) {
    teams.emplace_back("team-" + std::to_string(i));
  }
  EntryHostMetrics metrics(teams);
  metrics.OnTaskStart(teams.back(), PriorityClass::kBulk, milliseconds(1));
  metrics.OnTaskStart(TeamId("unheard of"), PriorityClass::kBulk, milliseconds(1));
  CHECK_TRUE(Has(metrics, "sapphirecrank_task_starts_total{class=\"bulk\",team=\"other\"} 2"));
  CHECK_FALSE(Has(metrics, "unheard"));
}

// Guards against a slowdown that is infinite because the run time isn't known.
TEST(EntryHostMetrics, UnknownRunTimeGivesNoSlowdown) {
  EntryHostMetrics metrics({TeamId("tags")});
  metrics.OnCompleteResponse(TeamId("tags"), PriorityClass::kUrgent, milliseconds(5),
                             milliseconds(0));
  CHECK_TRUE(Has(metrics, "sapphirecrank_slowdown_ratio_count{class=\"urgent\",team=\"tags\"} 0"));
}

// Guards against refusals that hide whether the work may have run.
TEST(EntryHostMetrics, RefusalsAreCountedByVerdictAndCode) {
  EntryHostMetrics metrics({});
  metrics.OnErrorResponse({base::ErrorCode::kOverloaded, "", "", base::ExecutionVerdict::kNotRun});
  CHECK_TRUE(
      Has(metrics, "sapphirecrank_refusals_total{code=\"overloaded\",verdict=\"not run\"} 1"));
  CHECK_TRUE(
      Has(metrics, "sapphirecrank_refusals_total{code=\"overloaded\",verdict=\"may have run\"} 0"));
}

// Guards against events that end up in another counter.
TEST(EntryHostMetrics, EventsAreCountedByKind) {
  EntryHostMetrics metrics({});
  metrics.OnMessage(observability::MessageKind::kTargetCall);
  metrics.OnWastedMessage(observability::WastedMessageCause::kLateResult);
  metrics.OnRetry();
  metrics.OnEjection();
  CHECK_TRUE(Has(metrics, "sapphirecrank_messages_total{kind=\"target_call\"} 1"));
  CHECK_TRUE(Has(metrics, "sapphirecrank_wasted_messages_total{cause=\"late_result\"} 1"));
  CHECK_TRUE(Has(metrics, "sapphirecrank_retries_total 1"));
  CHECK_TRUE(Has(metrics, "sapphirecrank_ejections_total 1"));
}

// Guards against lost or doubled counts when threads create the same series at once.
TEST(EntryHostMetrics, ThreadsThatCreateTheSameSeriesLoseNothing) {
  constexpr int kThreads = 4;
  constexpr int kCalls = 1000;
  EntryHostMetrics metrics({TeamId("tags")});
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&metrics] {
      for (int call = 0; call < kCalls; ++call) {
        metrics.OnTaskStart(TeamId("tags"), PriorityClass::kOrdinary, milliseconds(call));
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK_TRUE(
      Has(metrics, "sapphirecrank_task_starts_total{class=\"ordinary\",team=\"tags\"} 4000"));
}
