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

const HostId self_host("a");
const HostId peer_host("b");
const SubmissionId job_id("ba:1");

struct Placed {
  HostId host;
  Assignment assignment;
};

/// A router whose hooks record what it asks for.
class Fixture {
 public:
  Fixture() {
    RequestRouter::Hooks hooks;
    hooks.now = this->clock.AsClock();
    hooks.host_loads = [](base::TargetKind) {
      scheduling::LoadSummary load;
      load.free_slots = base::SlotCount(4);
      load.total_slots = base::SlotCount(4);
      load.largest_processors = base::MilliCores(4000);
      return std::vector<dispatch::HostLoad>{{self_host, load}, {peer_host, load}};
    };
    hooks.assign_tasks = [this](const HostId& host, const std::vector<Assignment>& tasks) {
      for (const Assignment& task : tasks) {
        this->placed.push_back({host, task});
      }
      return this->is_linked || host == self_host;
    };
    hooks.cancel_submission = [this](const HostId&, const SubmissionId&) { ++this->cancels; };
    this->router = std::make_unique<RequestRouter>(hooks);
  }

  void Submit(uint32_t count, bool idempotent = false) {
    std::vector<Assignment> tasks(count);
    for (uint32_t i = 0; i < count; ++i) {
      tasks[i].spec.key = {job_id, base::TaskIndex(i)};
      tasks[i].spec.deadline = this->clock.Now() + milliseconds(1000);
      tasks[i].spec.declared_resources.processors = base::MilliCores(1000);
      tasks[i].spec.idempotent = idempotent;
    }
    CHECK_TRUE(this->router->Submit(std::move(tasks), [this](const auto& reports) {
      ++this->answers;
      this->last = reports;
    }));
  }

  static TaskReport Report(const Placed& placed, ExecutionVerdict verdict, bool succeeded) {
    TaskReport report;
    report.key = placed.assignment.spec.key;
    report.placement = placed.assignment.placement;
    report.verdict = verdict;
    report.succeeded = succeeded;
    report.error.code = base::ErrorCode::kUnavailable;
    return report;
  }

  void TickAfter(int count) {
    this->clock.Advance(milliseconds(count));
    this->router->Tick();
  }

  base::ManualClock clock;
  bool is_linked = true;
  std::vector<Placed> placed;
  int cancels = 0;
  int answers = 0;
  std::vector<TaskReport> last;
  std::unique_ptr<RequestRouter> router;
};

}  // namespace

TEST_GROUP(RequestRouter) { Fixture fixture; };

// Guards against a job that isn't spread over the entry hosts, and against a partial answer.
TEST(RequestRouter, JobIsSpreadAndAnsweredWhole) {
  this->fixture.Submit(4);
  LONGS_EQUAL(4, this->fixture.placed.size());
  std::map<HostId, int> counts;
  for (size_t i = 0; i < 4; ++i) {
    LONGS_EQUAL(0, this->fixture.answers);
    const Placed placed = this->fixture.placed[i];
    ++counts[placed.host];
    this->fixture.router->OnReport(placed.host,
                                   Fixture::Report(placed, ExecutionVerdict::kRan, true));
  }
  LONGS_EQUAL(1, this->fixture.answers);
  LONGS_EQUAL(2, counts[self_host]);
  LONGS_EQUAL(2, counts[peer_host]);
}

// Guards against a second start of a task that may have run.
TEST(RequestRouter, TaskThatMayHaveRunIsNeverPlacedAgain) {
  this->fixture.Submit(1);
  const Placed placed = this->fixture.placed[0];
  this->fixture.router->OnReport(placed.host,
                                 Fixture::Report(placed, ExecutionVerdict::kMayHaveRun, false));
  this->fixture.TickAfter(100);
  LONGS_EQUAL(1, this->fixture.placed.size());
  LONGS_EQUAL(1, this->fixture.answers);
  CHECK(this->fixture.last[0].verdict == ExecutionVerdict::kMayHaveRun);
}

// Guards against a late report of an earlier placement that ends the current one.
TEST(RequestRouter, LateReportOfAnEarlierPlacementIsDropped) {
  this->fixture.Submit(1);
  const Placed first = this->fixture.placed[0];
  this->fixture.router->OnReport(first.host,
                                 Fixture::Report(first, ExecutionVerdict::kNotRun, false));
  this->fixture.TickAfter(100);
  LONGS_EQUAL(2, this->fixture.placed.size());
  CHECK_FALSE(this->fixture.router->OnReport(first.host,
                                             Fixture::Report(first, ExecutionVerdict::kRan, true)));
  LONGS_EQUAL(0, this->fixture.answers);
}

// Guards against work that waits for ever on a host that was lost.
TEST(RequestRouter, LostHostEndsItsTasksAsMayHaveRun) {
  this->fixture.Submit(2);
  this->fixture.router->OnHostLost(peer_host);
  this->fixture.router->OnReport(
      self_host,
      Fixture::Report(this->fixture.placed[0].host == self_host ? this->fixture.placed[0]
                                                                : this->fixture.placed[1],
                      ExecutionVerdict::kRan, true));
  LONGS_EQUAL(1, this->fixture.answers);
}

// Guards against a task lost because its message was never handed over.
TEST(RequestRouter, TaskNotHandedOverIsPlacedAgain) {
  this->fixture.is_linked = false;
  this->fixture.Submit(2);
  this->fixture.is_linked = true;
  this->fixture.TickAfter(100);
  LONGS_EQUAL(3, this->fixture.placed.size());
}

// Guards against a caller that is never answered, and against a false "not run" at the deadline.
TEST(RequestRouter, DeadlineEndsWorkWithATrueVerdict) {
  this->fixture.Submit(1);
  this->fixture.TickAfter(1001);
  LONGS_EQUAL(1, this->fixture.answers);
  CHECK(this->fixture.last[0].verdict == ExecutionVerdict::kMayHaveRun);
  CHECK(this->fixture.last[0].error.code == base::ErrorCode::kDeadlineExceeded);
}

// Guards against two answers, no answer, a second start or an untrue "not run" under any order of
// reports, losses, cancels and time. Starts are counted where a placement reports that it ran.
TEST(RequestRouter, AnyOrderOfEventsGivesOneTrueAnswer) {
  const bool holds = rc::check([] {
    Fixture random;
    random.Submit(*rc::gen::inRange<uint32_t>(1, 5));
    std::map<uint32_t, int> runs;
    std::map<std::pair<uint32_t, uint32_t>, bool> is_reported;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 7));
    for (const int step : steps) {
      if (step <= 3 && !random.placed.empty()) {
        const Placed placed = random.placed[*rc::gen::inRange<size_t>(0, random.placed.size())];
        const uint32_t index = placed.assignment.spec.key.index.value();
        bool& reported = is_reported[{index, placed.assignment.placement.value()}];
        const bool ran = step < 2;
        if (!reported && ran) {
          ++runs[index];
        }
        // A repeated report is a late or doubled message and says nothing new.
        const ExecutionVerdict verdict = ran         ? ExecutionVerdict::kRan
                                         : step == 2 ? ExecutionVerdict::kNotRun
                                                     : ExecutionVerdict::kMayHaveRun;
        if (!reported) {
          random.router->OnReport(placed.host, Fixture::Report(placed, verdict, step == 0));
        }
        reported = true;
      } else if (step == 4) {
        random.TickAfter(*rc::gen::inRange(1, 300));
      } else if (step == 5) {
        random.router->CancelSubmission(job_id);
      } else if (step == 6) {
        random.router->OnHostLost(*rc::gen::element(self_host, peer_host));
      }
    }
    random.TickAfter(2000);
    RC_ASSERT(random.answers == 1);
    for (const auto& [index, count] : runs) {
      RC_ASSERT(count <= 1);
    }
    for (const TaskReport& report : random.last) {
      const bool has_run = runs.count(report.key.index.value()) > 0;
      RC_ASSERT(!(has_run && report.verdict == ExecutionVerdict::kNotRun));
    }
  });
  CHECK_TRUE(holds);
}
