#include "dispatch/request_router.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <map>
#include <memory>
#include <vector>

#include "base/manual_clock.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::ExecutionVerdict;
using base::HostId;
using base::SubmissionId;
using dispatch::Assignment;
using dispatch::RequestRouter;
using dispatch::TaskReport;
using std::chrono::milliseconds;

namespace {

const HostId own_host("a");
const HostId peer_host("b");
const SubmissionId job_id("ba:1");

struct PlacedTask {
  HostId host;
  Assignment assignment;
};

/// A router whose hooks record the placements, cancellations and completions. The deadline of each
/// task is 1000 ms after its submission.
class RouterHarness {
 public:
  RouterHarness() {
    RequestRouter::Hooks hooks;
    hooks.now = this->clock.AsClock();
    hooks.host_loads = [](base::TargetKind) {
      scheduling::LoadSummary load;
      load.free_slots = base::SlotCount(4);
      load.total_slots = base::SlotCount(4);
      load.largest_processors = base::MilliCores(4000);
      return std::vector<dispatch::HostLoad>{{own_host, load}, {peer_host, load}};
    };
    hooks.assign_tasks = [this](const HostId& host, const std::vector<Assignment>& assignments) {
      for (const Assignment& assignment : assignments) {
        this->placed.push_back({host, assignment});
      }
      return this->can_reach_peer || host == own_host;
    };
    hooks.cancel_submission = [this](const HostId&, const SubmissionId&) { ++this->cancel_count; };
    this->router = std::make_unique<RequestRouter>(hooks);
  }

  void Submit(uint32_t task_count, bool idempotent = false) {
    std::vector<Assignment> assignments(task_count);
    for (uint32_t i = 0; i < task_count; ++i) {
      assignments[i].spec.key = {job_id, base::TaskIndex(i)};
      assignments[i].spec.deadline = this->clock.Now() + milliseconds(1000);
      assignments[i].spec.declared_resources.processors = base::MilliCores(1000);
      assignments[i].spec.idempotent = idempotent;
    }
    CHECK_TRUE(this->router->Submit(std::move(assignments), [this](const auto& reports) {
      ++this->completion_count;
      this->last_reports = reports;
    }));
  }

  static TaskReport MakeReport(const PlacedTask& placed, ExecutionVerdict verdict, bool succeeded) {
    TaskReport report;
    report.key = placed.assignment.spec.key;
    report.placement = placed.assignment.placement;
    report.verdict = verdict;
    report.succeeded = succeeded;
    report.error.code = base::ErrorCode::kUnavailable;
    return report;
  }

  void TickAfter(int delay_ms) {
    this->clock.Advance(milliseconds(delay_ms));
    this->router->Tick();
  }

  base::ManualClock clock;
  bool can_reach_peer = true;
  std::vector<PlacedTask> placed;
  int cancel_count = 0;
  int completion_count = 0;
  std::vector<TaskReport> last_reports;
  std::unique_ptr<RequestRouter> router;
};

}  // namespace

TEST_GROUP(RequestRouter) { RouterHarness harness; };

// Guards against a job that isn't spread over the entry hosts, and against a completion before all
// tasks are reported.
TEST(RequestRouter, JobIsSpreadAndCompletedOnce) {
  this->harness.Submit(4);
  LONGS_EQUAL(4, this->harness.placed.size());
  std::map<HostId, int> task_counts;
  for (size_t i = 0; i < 4; ++i) {
    LONGS_EQUAL(0, this->harness.completion_count);
    const PlacedTask placed = this->harness.placed[i];
    ++task_counts[placed.host];
    this->harness.router->OnReport(placed.host,
                                   RouterHarness::MakeReport(placed, ExecutionVerdict::kRan, true));
  }
  LONGS_EQUAL(1, this->harness.completion_count);
  LONGS_EQUAL(2, task_counts[own_host]);
  LONGS_EQUAL(2, task_counts[peer_host]);
}

// Guards against a second start of a task that may have run.
TEST(RequestRouter, TaskThatMayHaveRunIsNeverPlacedAgain) {
  this->harness.Submit(1);
  const PlacedTask placed = this->harness.placed[0];
  this->harness.router->OnReport(
      placed.host, RouterHarness::MakeReport(placed, ExecutionVerdict::kMayHaveRun, false));
  this->harness.TickAfter(100);
  LONGS_EQUAL(1, this->harness.placed.size());
  LONGS_EQUAL(1, this->harness.completion_count);
  CHECK(this->harness.last_reports[0].verdict == ExecutionVerdict::kMayHaveRun);
}

// Guards against a late report of an earlier placement that ends the current one.
TEST(RequestRouter, LateReportOfAnEarlierPlacementIsDropped) {
  this->harness.Submit(1);
  const PlacedTask first = this->harness.placed[0];
  this->harness.router->OnReport(
      first.host, RouterHarness::MakeReport(first, ExecutionVerdict::kNotRun, false));
  this->harness.TickAfter(100);
  LONGS_EQUAL(2, this->harness.placed.size());
  CHECK_FALSE(this->harness.router->OnReport(
      first.host, RouterHarness::MakeReport(first, ExecutionVerdict::kRan, true)));
  LONGS_EQUAL(0, this->harness.completion_count);
}

// Guards against a submission that waits forever for a lost host.
TEST(RequestRouter, LostHostEndsItsTasksAsMayHaveRun) {
  this->harness.Submit(2);
  this->harness.router->OnHostLost(peer_host);
  this->harness.router->OnReport(
      own_host,
      RouterHarness::MakeReport(this->harness.placed[0].host == own_host ? this->harness.placed[0]
                                                                         : this->harness.placed[1],
                                ExecutionVerdict::kRan, true));
  LONGS_EQUAL(1, this->harness.completion_count);
}

// Guards against a task that is lost because its assignment was not sent.
TEST(RequestRouter, TaskNotSentIsPlacedAgain) {
  this->harness.can_reach_peer = false;
  this->harness.Submit(2);
  this->harness.can_reach_peer = true;
  this->harness.TickAfter(100);
  LONGS_EQUAL(3, this->harness.placed.size());
}

// Guards against a submission that never completes, and against an incorrect "not run" at the
// deadline.
TEST(RequestRouter, DeadlineEndsTaskWithCorrectVerdict) {
  this->harness.Submit(1);
  this->harness.TickAfter(1001);
  LONGS_EQUAL(1, this->harness.completion_count);
  CHECK(this->harness.last_reports[0].verdict == ExecutionVerdict::kMayHaveRun);
  CHECK(this->harness.last_reports[0].error.code == base::ErrorCode::kDeadlineExceeded);
}

// Guards against two completions, no completion, a second run or an incorrect "not run" for any
// order of reports, lost hosts, cancellations and ticks. A run is counted when a placement reports
// that it ran.
TEST(RequestRouter, AnyOrderOfEventsGivesOneCorrectResult) {
  const bool holds = rc::check([] {
    RouterHarness local_harness;
    local_harness.Submit(*rc::gen::inRange<uint32_t>(1, 5));
    std::map<uint32_t, int> run_counts;
    std::map<std::pair<uint32_t, uint32_t>, bool> is_reported;
    const auto events = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 7));
    for (const int event : events) {
      if (event <= 3 && !local_harness.placed.empty()) {
        const PlacedTask placed =
            local_harness.placed[*rc::gen::inRange<size_t>(0, local_harness.placed.size())];
        const uint32_t index = placed.assignment.spec.key.index.value();
        bool& is_already_reported = is_reported[{index, placed.assignment.placement.value()}];
        const bool has_run = event < 2;
        if (!is_already_reported && has_run) {
          ++run_counts[index];
        }
        // Each placement is reported at most once.
        const ExecutionVerdict verdict = has_run      ? ExecutionVerdict::kRan
                                         : event == 2 ? ExecutionVerdict::kNotRun
                                                      : ExecutionVerdict::kMayHaveRun;
        if (!is_already_reported) {
          local_harness.router->OnReport(placed.host,
                                         RouterHarness::MakeReport(placed, verdict, event == 0));
        }
        is_already_reported = true;
      } else if (event == 4) {
        local_harness.TickAfter(*rc::gen::inRange(1, 300));
      } else if (event == 5) {
        local_harness.router->CancelSubmission(job_id);
      } else if (event == 6) {
        local_harness.router->OnHostLost(*rc::gen::element(own_host, peer_host));
      }
    }
    local_harness.TickAfter(2000);
    RC_ASSERT(local_harness.completion_count == 1);
    for (const auto& [index, count] : run_counts) {
      RC_ASSERT(count <= 1);
    }
    for (const TaskReport& report : local_harness.last_reports) {
      const bool has_run = run_counts.count(report.key.index.value()) > 0;
      RC_ASSERT(!(has_run && report.verdict == ExecutionVerdict::kNotRun));
    }
  });
  CHECK_TRUE(holds);
}
