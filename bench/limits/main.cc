#include <ctime>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "limits/admission_controller.h"
#include "limits/caller_rate_limiter.h"
#include "limits/hedge_policy.h"
#include "limits/retry_policy.h"
#include "limits/target_limiter.h"
#include "limits/team_quota.h"

// Measures the processor time per call of each limiter and policy with growing numbers of teams,
// targets and callers.
namespace sapphirecrank::limits {
namespace {

using base::ConnectionCount;
using base::SlotCount;
using base::TargetId;
using base::TaskCount;
using base::TaskKind;
using base::TeamId;
using base::Version;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kCallCount = 500'000;
// Coprime to the numbers of teams, targets and callers, so that the calls visit all of them.
constexpr size_t kIndexStride = 7919;
constexpr TaskCount kOneTask{1};
constexpr AdmissionController::QueueBounds kBounds{TaskCount(1000), TaskCount(1000),
                                                   TaskCount(1000)};

double ProcessorNanoseconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e9 + static_cast<double>(time.tv_nsec);
}

void MeasureCall(const std::string& name, size_t object_count,
                 const std::function<void(size_t)>& call) {
  for (size_t i = 0; i < object_count * 2; ++i) {
    call(i);
  }
  const double nanoseconds_before = ProcessorNanoseconds();
  for (size_t i = 0; i < kCallCount; ++i) {
    call(i * kIndexStride);
  }
  const double nanoseconds = (ProcessorNanoseconds() - nanoseconds_before) / kCallCount;
  std::cout << name << " at " << object_count << ": " << static_cast<int>(nanoseconds) << " ns\n";
}

template <typename Id>
std::vector<Id> MakeIds(const std::string& prefix, size_t count) {
  std::vector<Id> ids;
  ids.reserve(count);
  for (size_t i = 0; i < count; ++i) {
    ids.push_back(Id(prefix + std::to_string(i)));
  }
  return ids;
}

TeamQuota::LimitsByTeam MakeLimits(const std::vector<TeamId>& teams) {
  TeamQuota::LimitsByTeam limits;
  for (const TeamId& team : teams) {
    limits[team] = {TaskCount(1000), EventsPerSecond(1'000'000'000), EventCount(1'000'000'000), {}};
  }
  return limits;
}

void MeasureAdmission(const std::vector<TeamId>& teams, const base::Clock& now) {
  const size_t count = teams.size();
  TeamQuota quota({now});
  quota.ReplaceLimits(Version(1), MakeLimits(teams));
  AdmissionController controller(quota, kBounds, {now, [] {}});
  MeasureCall("teams, admit+start+end", count, [&](size_t i) {
    const TeamId& team = teams[i % count];
    controller.Admit({team, base::PriorityClass::kUrgent, kOneTask, now() + seconds(1)});
    controller.OnTasksStarted(team, base::PriorityClass::kUrgent, kOneTask);
    controller.OnTasksEnded(team, kOneTask);
  });
  MeasureCall("teams, admission refused", count, [&](size_t i) {
    controller.Admit({teams[i % count], base::PriorityClass::kUrgent, TaskCount(1001), {}});
  });
  MeasureCall("teams, TryStartTasks", count,
              [&](size_t i) { quota.TryStartTasks(teams[i % count], EventCount(1)); });
}

void MeasureExtraMessages(const std::vector<TeamId>& teams, const base::Clock& now) {
  const size_t count = teams.size();
  const auto actions = [] { return AutomaticActions(); };
  RetryBudget budget({}, {now});
  RetryPolicy retries(budget, BackoffPolicy({}, {[] { return 0.5; }}), {now, actions});
  MeasureCall("teams, retry work+decide", count, [&](size_t i) {
    RetryRequest request;
    request.team = teams[i % count];
    request.verdict = base::ExecutionVerdict::kNotRun;
    request.deadline = now() + seconds(1);
    budget.OnFirstAttempts(request.team, EventCount(1));
    retries.DecideRetry(request);
  });
  HedgePolicy hedges({}, {now, actions});
  const TaskKind kind("lookup");
  MeasureCall("teams, hedge work+response+send", count, [&](size_t i) {
    const HedgeRequest request{teams[i % count], kind, true, now() + seconds(1)};
    hedges.OnFirstAttempt(request);
    hedges.OnFirstResponse(request.team, kind, milliseconds(50 + i % 50));
    hedges.TryHedge(request);
  });
}

void MeasureTargets(const std::vector<TargetId>& targets) {
  const size_t count = targets.size();
  TargetLimiter limiter({[] { return AutomaticActions(); }});
  for (const TargetId& target : targets) {
    limiter.UpdateTarget(target, SlotCount(8), ConnectionCount(64));
  }
  MeasureCall("targets, acquire+release", count, [&](size_t i) {
    const TargetId& target = targets[i % count];
    limiter.TryAcquireCall(target);
    limiter.ReleaseCall(target, {milliseconds(50 + i % 50), milliseconds(50)});
  });
}

void MeasureCallers(const std::vector<CallerAddress>& callers, const base::Clock& now) {
  const size_t count = callers.size();
  CallerRateLimiter limiter({EventsPerSecond(1'000'000), EventCount(1'000'000)}, {now});
  MeasureCall("callers, admit", count, [&](size_t i) { limiter.Admit(callers[i % count]); });
}

void MeasureAll() {
  const base::Clock now = base::SteadyClock();
  for (const size_t count : {1, 55, 550}) {
    const auto teams = MakeIds<TeamId>("team-", count);
    MeasureAdmission(teams, now);
    MeasureExtraMessages(teams, now);
  }
  for (const size_t count : {50, 500, 5000}) {
    MeasureTargets(MakeIds<TargetId>("target-", count));
    MeasureCallers(MakeIds<CallerAddress>("10.0.0.", count), now);
  }
}

}  // namespace
}  // namespace sapphirecrank::limits

int main() {
  sapphirecrank::limits::MeasureAll();
  return 0;
}
