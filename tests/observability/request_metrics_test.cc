#include "observability/request_metrics.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <thread>
#include <vector>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::PriorityClass;
using base::TeamId;
using observability::RequestMetrics;
using std::chrono::milliseconds;

namespace {

bool ContainsText(const RequestMetrics& metrics, const std::string& text) {
  return metrics.PrometheusText().find(text) != std::string::npos;
}

}  // namespace

TEST_GROUP(RequestMetrics){};

// Guards against responses that are counted for the wrong team or class, or with a wrong slowdown.
TEST(RequestMetrics, CompleteResponsesAreCountedForTheirTeamAndClass) {
  RequestMetrics metrics({TeamId("tags"), TeamId("maps")});
  metrics.OnCompleteResponse(TeamId("tags"), PriorityClass::kUrgent, milliseconds(110),
                             milliseconds(100));
  CHECK_TRUE(ContainsText(
      metrics, "sapphirecrank_response_seconds_count{class=\"urgent\",team=\"tags\"} 1"));
  CHECK_TRUE(ContainsText(metrics,
                          "sapphirecrank_slowdown_ratio_sum{class=\"urgent\",team=\"tags\"} 1.1"));
  CHECK_FALSE(ContainsText(metrics, "team=\"maps\""));
}

// Guards against unbounded memory use by label values that callers choose.
TEST(RequestMetrics, UnknownAndSurplusTeamsShareOneSeries) {
  std::vector<TeamId> teams;
  for (size_t i = 0; i <= RequestMetrics::kMaximumTeams; ++i) {
    teams.emplace_back("team-" + std::to_string(i));
  }
  RequestMetrics metrics(teams);
  metrics.OnTaskStart(teams.back(), PriorityClass::kBulk, milliseconds(1));
  metrics.OnTaskStart(TeamId("unheard of"), PriorityClass::kBulk, milliseconds(1));
  CHECK_TRUE(
      ContainsText(metrics, "sapphirecrank_task_starts_total{class=\"bulk\",team=\"other\"} 2"));
  CHECK_FALSE(ContainsText(metrics, "unheard"));
}

// Guards against an infinite slowdown when the run time is unknown.
TEST(RequestMetrics, UnknownRunTimeGivesNoSlowdown) {
  RequestMetrics metrics({TeamId("tags")});
  metrics.OnCompleteResponse(TeamId("tags"), PriorityClass::kUrgent, milliseconds(5),
                             milliseconds(0));
  CHECK_TRUE(ContainsText(metrics,
                          "sapphirecrank_slowdown_ratio_count{class=\"urgent\",team=\"tags\"} 0"));
}

// Guards against counts of error responses that don't tell whether the work may have run.
TEST(RequestMetrics, ErrorResponsesAreCountedByVerdictAndCode) {
  RequestMetrics metrics({});
  metrics.OnErrorResponse({base::ErrorCode::kOverloaded, "", "", base::ExecutionVerdict::kNotRun});
  CHECK_TRUE(ContainsText(
      metrics, "sapphirecrank_refusals_total{code=\"overloaded\",verdict=\"not run\"} 1"));
  CHECK_TRUE(ContainsText(
      metrics, "sapphirecrank_refusals_total{code=\"overloaded\",verdict=\"may have run\"} 0"));
}

// Guards against events that increment the wrong counter.
TEST(RequestMetrics, EventsAreCountedByKind) {
  RequestMetrics metrics({});
  metrics.OnMessage(observability::MessageKind::kTargetCall);
  metrics.OnWastedMessage(observability::WastedMessageCause::kLateResult);
  metrics.OnRetry();
  metrics.OnEjection();
  CHECK_TRUE(ContainsText(metrics, "sapphirecrank_messages_total{kind=\"target_call\"} 1"));
  CHECK_TRUE(ContainsText(metrics, "sapphirecrank_wasted_messages_total{cause=\"late_result\"} 1"));
  CHECK_TRUE(ContainsText(metrics, "sapphirecrank_retries_total 1"));
  CHECK_TRUE(ContainsText(metrics, "sapphirecrank_ejections_total 1"));
}

// Guards against lost or duplicate counts when several threads create the same series at once.
TEST(RequestMetrics, ThreadsThatCreateTheSameSeriesLoseNothing) {
  constexpr int kThreadCount = 4;
  constexpr int kCallsPerThread = 1000;
  RequestMetrics metrics({TeamId("tags")});
  std::vector<std::thread> threads;
  threads.reserve(kThreadCount);
  for (int i = 0; i < kThreadCount; ++i) {
    threads.emplace_back([&metrics] {
      for (int call = 0; call < kCallsPerThread; ++call) {
        metrics.OnTaskStart(TeamId("tags"), PriorityClass::kOrdinary, milliseconds(call));
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK_TRUE(ContainsText(
      metrics, "sapphirecrank_task_starts_total{class=\"ordinary\",team=\"tags\"} 4000"));
}
