#include <CppUTest/TestHarness.h>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/manual_clock.h"
#include "gateway/allocator_selector.h"
#include "runs/service_scheduler.h"
#include "stored/job_scheduler.h"
#include "tests/support/simulated_target.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using runs::FinishedRun;
using runs::RunEvent;
using runs::SchedulerActions;
using std::chrono::milliseconds;
using stored::JobCommand;
using stored::JobScheduler;

namespace {

constexpr const char* kLeader = "leader";
constexpr base::Duration kStep = milliseconds(20);

base::Resources Cores(int64_t count) {
  return {base::MilliCores(1000 * count), base::ByteCount(0), base::AcceleratorCount(0)};
}

/// An allocator whose requests and messages the test delivers.
struct Allocator {
  runs::ServiceScheduler scheduler;
  SchedulerActions pending_actions;
  base::FencingToken token{1};
  std::set<std::string> owned_targets;
  std::set<std::string> unreachable_targets;
};

}  // namespace

/// The manager of stored jobs, two allocators and their targets, without a network.
TEST_GROUP(TaskSuccession) {
  base::ManualClock clock;
  std::map<std::string, Allocator> allocators;
  std::map<std::string, testing::SimulatedTarget> targets;
  /// Placements go to this allocator, or to the one that `selector` chooses if it is empty.
  std::string chosen_allocator = "a1";
  gateway::AllocatorSelector selector{base::DataCentreId("zone"), this->clock.AsClock()};
  base::Resources task_size = Cores(1);
  size_t most_simultaneous_runs = 0;
  stored::JobStateMachine jobs{
      [this](const std::vector<base::SubmissionId>& ids) { this->leader.OnJobsChanged(ids); }};
  JobScheduler leader{
      {base::HostId(kLeader), std::chrono::seconds(100)}, this->jobs, this->Hooks()};

  void setup() override {
    this->clock.Advance(std::chrono::seconds(100));
    for (const char* id : {"t1", "t2", "t3"}) {
      this->targets.emplace(id, testing::SimulatedTarget(id, Cores(1), this->clock.Now()));
    }
    this->allocators["a1"].owned_targets = {"t1", "t2"};
    this->allocators["a2"].owned_targets = {"t3"};
    this->AdvanceTime(milliseconds(3000));
  }

  JobScheduler::Hooks Hooks() {
    JobScheduler::Hooks hooks;
    hooks.now = this->clock.AsClock();
    hooks.choose_allocator = [this](const base::ServiceId&, base::TaskCount,
                                    const runs::TaskRequirements& requirements,
                                    const std::set<base::HostId>& avoided) {
      return this->chosen_allocator.empty()
                 ? this->selector.ChooseAllocatorWithoutFullBacklog(
                       base::ServiceId("service"), base::TaskCount(1), requirements, avoided)
                 : std::optional<base::HostId>(this->chosen_allocator);
    };
    hooks.place_batch = [this](const base::HostId& host, const runs::TaskBatch& batch) {
      Allocator& allocator = this->allocators.at(host.value());
      allocator.scheduler.PlaceBatch(batch, this->clock.Now(), allocator.pending_actions);
      return true;
    };
    hooks.cancel_job = [](const base::HostId&, const base::SubmissionId&) {};
    hooks.remove_job_records = [](const std::vector<base::SubmissionId>&) {};
    hooks.supersede_runs = [this](const JobCommand::SupersedeRuns& command) {
      this->jobs.Apply(JobCommand{command}.Encode());
    };
    hooks.on_leadership_change = [](bool /*leads*/) {};
    return hooks;
  }

  void SubmitJob(bool is_long_running) {
    gateway::Job job;
    job.id = base::SubmissionId("job");
    job.service = base::ServiceId("service");
    job.maximum_attempts = base::AttemptCount(4);
    gateway::JobStep step;
    step.task_count = base::TaskCount(1);
    step.required_resources = this->task_size;
    step.is_long_running = is_long_running;
    job.steps = {step};
    this->jobs.Apply(JobCommand{JobCommand::Submit{job}}.Encode());
  }

  void ExecuteRequests(Allocator & allocator, const SchedulerActions& actions) {
    const base::TimePoint now = this->clock.Now();
    const auto is_reachable = [&allocator](const runs::TargetEndpoint& endpoint) {
      return allocator.unreachable_targets.count(endpoint.id.value()) == 0;
    };
    for (const runs::StartRequest& request : actions.start_requests) {
      allocator.scheduler.OnStartResponse(
          request,
          is_reachable(request.target)
              ? this->targets.at(request.target.id.value()).StartRun(request, this->task_size, now)
              : runs::TargetCallResponse(),
          now, allocator.pending_actions);
    }
    for (const runs::StopRequest& request : actions.stop_requests) {
      allocator.scheduler.OnStopResponse(
          request,
          is_reachable(request.target)
              ? this->targets.at(request.target.id.value()).StopRun(request, now)
              : runs::TargetCallResponse(),
          now, allocator.pending_actions);
    }
    for (const runs::PollRequest& request : actions.poll_requests) {
      allocator.scheduler.OnPollResponse(
          request,
          is_reachable(request.target)
              ? this->targets.at(request.target.id.value()).Poll(request, now)
              : runs::PollResponse(),
          now, allocator.pending_actions);
    }
  }

  void DeliverRunEvent(Allocator & allocator, const RunEvent& event) {
    using Disposition = JobScheduler::EventDisposition;
    Disposition disposition = this->leader.ClassifyRunEvent(event);
    if (disposition == Disposition::kPropose) {
      this->jobs.Apply(JobCommand{
          JobCommand::RecordOutcomes{{{event.key, event.kind == RunEvent::Kind::kSucceeded}}}}
                           .Encode());
      disposition = this->leader.ClassifyRunEvent(event);
    }
    allocator.scheduler.OnEventAcknowledgement(event, disposition == Disposition::kSuperseded,
                                               this->clock.Now(), allocator.pending_actions);
  }

  /// Executes the actions of an allocator, and those that follow from them at once.
  void ExecuteActions(const std::string& host) {
    Allocator& allocator = this->allocators.at(host);
    constexpr int kMaximumRounds = 10;
    for (int round = 0; round < kMaximumRounds; ++round) {
      const SchedulerActions actions = std::exchange(allocator.pending_actions, SchedulerActions());
      this->ExecuteRequests(allocator, actions);
      for (const RunEvent& event : actions.run_events) {
        this->DeliverRunEvent(allocator, event);
      }
      for (const runs::BatchResult& result : actions.batch_results) {
        this->leader.OnBatchEnd(base::HostId(host), result);
      }
    }
  }

  void ReportTargets(Allocator & allocator) {
    for (const std::string& id : allocator.owned_targets) {
      if (allocator.unreachable_targets.count(id) == 0) {
        allocator.scheduler.OnTargetReport(this->targets.at(id).MakeReport(this->clock.Now()),
                                           allocator.token, this->clock.Now(),
                                           allocator.pending_actions);
      }
    }
  }

  void AdvanceTime(base::Duration duration) {
    for (base::Duration passed{0}; passed < duration; passed += kStep) {
      this->clock.Advance(kStep);
      for (auto& [id, target] : this->targets) {
        target.StopRunsIfLeaseExpired(this->clock.Now());
      }
      this->leader.OnLeaseHeld(base::Term(3));
      this->leader.Tick();
      for (auto& [host, allocator] : this->allocators) {
        allocator.scheduler.OnGatewayAlive(base::HostId(kLeader), this->clock.Now(),
                                           this->clock.Now(), allocator.pending_actions);
        this->ReportTargets(allocator);
        allocator.scheduler.Tick(this->clock.Now(), allocator.pending_actions);
        this->ExecuteActions(host);
        runs::CapacityReport report;
        report.service_capacities = {allocator.scheduler.Capacity(this->clock.Now())};
        report.service_capacities[0].service = base::ServiceId("service");
        this->selector.OnCapacityReport(base::HostId(host), report);
      }
      this->most_simultaneous_runs =
          std::max(this->most_simultaneous_runs, this->CountActiveRuns());
    }
  }

  /// Returns the number of active runs of the job's only task.
  size_t CountActiveRuns() const {
    size_t count = 0;
    for (const auto& [id, target] : this->targets) {
      count += target.active_runs().size();
    }
    return count;
  }

  void FinishRunOnFirstTarget(FinishedRun::Outcome outcome) {
    testing::SimulatedTarget& target = this->targets.at("t1");
    LONGS_EQUAL(1, target.active_runs().size());
    target.FinishRun(runs::RunKey(target.active_runs().begin()->first), outcome);
  }

  /// Assigns the first target to the second allocator, which uses a higher fencing token.
  void ChangeOwnerOfFirstTarget() {
    this->allocators.at("a2").token = base::FencingToken(2);
    this->allocators.at("a2").owned_targets.insert("t1");
  }

  void ReleaseFirstTarget() {
    Allocator& allocator = this->allocators.at("a1");
    allocator.owned_targets.erase("t1");
    allocator.scheduler.ReleaseUnownedTargets(
        [](const runs::TargetReport& report) { return report.id != base::TargetId("t1"); },
        this->clock.Now(), allocator.pending_actions);
  }

  /// The run on the first target ends while the target is cut off. The target has another owner
  /// when it is reachable again, which reads how the run ended.
  void EndRunOnTargetThatIsCutOff(FinishedRun::Outcome outcome) {
    this->allocators.at("a1").unreachable_targets = {"t1"};
    this->FinishRunOnFirstTarget(outcome);
    this->AdvanceTime(milliseconds(1500));
    LONGS_EQUAL(1, this->CountActiveRuns());
    this->ReleaseFirstTarget();
    this->ChangeOwnerOfFirstTarget();
    this->chosen_allocator = "a2";
    this->AdvanceTime(milliseconds(4000));
  }
};

// Guards against a third run of a task beside its second one: the first run fails while its target
// is cut off, the task is started elsewhere after the lease, and the next owner of the target
// reports the failure (review/8).
TEST(TaskSuccession, FailureReadByAnotherOwnerDoesNotStartARunBesideTheNextOne) {
  this->SubmitJob(false);
  this->AdvanceTime(milliseconds(200));
  this->EndRunOnTargetThatIsCutOff(FinishedRun::Outcome::kFailed);
  LONGS_EQUAL(1, this->most_simultaneous_runs);
  LONGS_EQUAL(1, this->CountActiveRuns());
}

// Guards against the same for a long-running task, whose ends the group doesn't record.
TEST(TaskSuccession, EndOfALongRunningTaskReadByAnotherOwnerDoesNotStartARunBesideTheNextOne) {
  this->SubmitJob(true);
  this->AdvanceTime(milliseconds(200));
  this->EndRunOnTargetThatIsCutOff(FinishedRun::Outcome::kFailed);
  LONGS_EQUAL(1, this->most_simultaneous_runs);
  LONGS_EQUAL(1, this->CountActiveRuns());
}

// Guards against two runs of a task after its target was restarted: the former owner, which hasn't
// learned of the next one, finds that the run is missing and takes it for lost, although the next
// owner has read and reported its failure. The restarted target accepts the lower token again.
TEST(TaskSuccession, FormerOwnerStartsNothingForARunThatIsMissingAfterARestart) {
  this->SubmitJob(false);
  this->AdvanceTime(milliseconds(200));
  this->allocators.at("a1").unreachable_targets = {"t1"};
  this->FinishRunOnFirstTarget(FinishedRun::Outcome::kFailed);
  this->ChangeOwnerOfFirstTarget();
  this->chosen_allocator = "a2";
  this->AdvanceTime(milliseconds(200));
  this->allocators.at("a2").unreachable_targets = {"t1"};
  this->targets.at("t1").Restart(this->clock.Now());
  this->allocators.at("a1").unreachable_targets.clear();
  this->AdvanceTime(milliseconds(4000));
  LONGS_EQUAL(1, this->most_simultaneous_runs);
  LONGS_EQUAL(1, this->CountActiveRuns());
}

// Guards against a lost target that delays its stored tasks by more than its lease and a placement:
// their runs are known to be gone then.
TEST(TaskSuccession, PlacesTasksOfALostTargetSoonAfterItsLease) {
  this->SubmitJob(false);
  this->AdvanceTime(milliseconds(200));
  this->allocators.at("a1").unreachable_targets = {"t1"};
  this->AdvanceTime(milliseconds(1300));
  LONGS_EQUAL(1, this->most_simultaneous_runs);
  LONGS_EQUAL(1, this->CountActiveRuns());
}

// Guards against a task that is placed all the time with an allocator that has free capacity but no
// target that is large enough, while a target of another allocator is idle.
TEST(TaskSuccession, PlacesATaskWithTheOnlyAllocatorThatCanHoldIt) {
  this->targets.at("t3") = testing::SimulatedTarget("t3", Cores(2), this->clock.Now());
  this->targets.at("t3").Restart(this->clock.Now());
  this->AdvanceTime(milliseconds(200));
  this->chosen_allocator.clear();
  this->task_size = Cores(2);
  this->SubmitJob(false);
  this->AdvanceTime(milliseconds(3000));
  LONGS_EQUAL(1, this->targets.at("t3").active_runs().size());
}
