#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>
#include <vector>

#include "tests/jobs/job_coordinator_cluster.h"

namespace sapphirecrank::jobs {

namespace {

using std::chrono::milliseconds;

constexpr size_t kHostCount = 4;
// A loss leaves at least two members, so that each job gets an owner and a backup again.
constexpr size_t kMinimumMembersBeforeLoss = 3;
constexpr int kCaseCount = 5000;
constexpr int kMaximumEvents = 200;

enum class EventKind {
  kSubmit,
  kResubmit,
  kConflict,
  kDeliver,
  kDrop,
  kDuplicate,
  kRun,
  kFail,
  kReject,
  kLose,
  kRepeatReport,
  kKill,
  kRestart,
  kIsolate,
  kHeal,
  kDecideView,
  kLearn,
  kCancel,
  kCancelTeam,
  kAdvance,
};

struct Event {
  EventKind kind;
  uint32_t first_choice;
  uint32_t second_choice;
};

void showValue(const Event& event, std::ostream& out) {
  out << static_cast<int>(event.kind) << "/" << event.first_choice << "/" << event.second_choice;
}

rc::Gen<Event> AnyEvent() {
  auto kind = rc::gen::weightedElement<EventKind>(
      {{6, EventKind::kSubmit},     {6, EventKind::kResubmit},     {1, EventKind::kConflict},
       {60, EventKind::kDeliver},   {4, EventKind::kDrop},         {4, EventKind::kDuplicate},
       {20, EventKind::kRun},       {1, EventKind::kFail},         {4, EventKind::kReject},
       {1, EventKind::kLose},       {4, EventKind::kRepeatReport}, {2, EventKind::kKill},
       {3, EventKind::kRestart},    {3, EventKind::kIsolate},      {4, EventKind::kHeal},
       {5, EventKind::kDecideView}, {16, EventKind::kLearn},       {1, EventKind::kCancel},
       {1, EventKind::kCancelTeam}, {12, EventKind::kAdvance}});
  return rc::gen::construct<Event>(kind, rc::gen::resize(100, rc::gen::arbitrary<uint32_t>()),
                                   rc::gen::resize(100, rc::gen::arbitrary<uint32_t>()));
}

class EventApplier {
 public:
  explicit EventApplier(JobCoordinatorSettings settings) : cluster(kHostCount, settings) {}

  void Apply(const Event& event);

  JobCoordinatorCluster cluster;

 private:
  void ApplyCallerEvent(const Event& event, size_t host);
  void ApplyMessageEvent(const Event& event);
  void ApplyTargetEvent(const Event& event);
  void ApplyHostEvent(const Event& event, size_t host);

  std::vector<base::SubmissionId> ids;
};

void EventApplier::Apply(const Event& event) {
  size_t host = event.first_choice % kHostCount;
  switch (event.kind) {
    case EventKind::kSubmit:
    case EventKind::kResubmit:
    case EventKind::kConflict:
    case EventKind::kCancel:
    case EventKind::kCancelTeam:
      if (this->cluster.hosts[host].job_coordinator) {
        this->ApplyCallerEvent(event, host);
      }
      break;
    case EventKind::kDeliver:
    case EventKind::kDrop:
    case EventKind::kDuplicate:
      if (!this->cluster.messages.empty()) {
        this->ApplyMessageEvent(event);
      }
      break;
    case EventKind::kRun:
    case EventKind::kFail:
    case EventKind::kReject:
    case EventKind::kLose:
      if (!this->cluster.pending_starts.empty()) {
        this->ApplyTargetEvent(event);
      }
      break;
    case EventKind::kRepeatReport:
      if (!this->cluster.reports.empty()) {
        this->cluster.QueueReport(
            this->cluster.reports[event.second_choice % this->cluster.reports.size()], host);
      }
      break;
    case EventKind::kAdvance:
      this->cluster.AdvanceTime(milliseconds(
          event.first_choice % 8 == 0 ? event.second_choice % 3000 : event.second_choice % 60));
      break;
    default:
      this->ApplyHostEvent(event, host);
  }
}

void EventApplier::ApplyCallerEvent(const Event& event, size_t host) {
  JobCoordinator& coordinator = *this->cluster.hosts[host].job_coordinator;
  if (event.kind == EventKind::kSubmit || this->ids.empty()) {
    this->ids.push_back(this->cluster.NewId());
    this->cluster.Submit(
        event.second_choice % 4 == 0 ? host : this->cluster.OwnerOfOr(this->ids.back(), host),
        this->ids.back());
    return;
  }
  const base::SubmissionId& id = this->ids[event.second_choice % this->ids.size()];
  if (event.kind == EventKind::kResubmit) {
    this->cluster.Submit(host, id);
  } else if (event.kind == EventKind::kConflict) {
    this->cluster.Submit(host, id, 2, "other");
  } else if (event.kind == EventKind::kCancel) {
    coordinator.CancelJob(id);
  } else {
    coordinator.CancelJobsOfTeam(base::TeamId("even"));
  }
}

void EventApplier::ApplyMessageEvent(const Event& event) {
  // Messages mostly stay in order, as on one connection.
  size_t count = this->cluster.messages.size();
  size_t position = event.first_choice % 4 == 0 ? event.second_choice % count : 0;
  if (event.kind == EventKind::kDeliver) {
    this->cluster.DeliverMessage(position);
  } else if (event.kind == EventKind::kDrop) {
    this->cluster.DropMessage(position);
  } else {
    this->cluster.DuplicateMessage(position);
  }
}

void EventApplier::ApplyTargetEvent(const Event& event) {
  size_t position = event.second_choice % this->cluster.pending_starts.size();
  if (event.kind == EventKind::kReject) {
    this->cluster.RejectTask(position);
  } else if (event.kind == EventKind::kLose) {
    this->cluster.LoseTask(position, event.first_choice % 2 == 0);
  } else {
    this->cluster.RunTask(position, event.kind == EventKind::kRun);
  }
}

void EventApplier::ApplyHostEvent(const Event& event, size_t host) {
  bool is_alive = this->cluster.hosts[host].job_coordinator != nullptr;
  if (event.kind == EventKind::kKill && is_alive && this->cluster.live_host_count() > 2) {
    this->cluster.KillHost(host);
  } else if (event.kind == EventKind::kRestart && !is_alive && event.second_choice % 2 == 0) {
    this->cluster.RestartHost(host);
  } else if (event.kind == EventKind::kRestart && !is_alive) {
    this->cluster.RestartHostInView(host);
  } else if (event.kind == EventKind::kIsolate) {
    this->cluster.IsolateHost(host);
  } else if (event.kind == EventKind::kHeal) {
    this->cluster.HealHost(host);
  } else if (event.kind == EventKind::kDecideView) {
    this->cluster.DecideView();
  } else if (event.kind == EventKind::kLearn) {
    this->cluster.LearnNextView(host);
  }
}

JobCoordinatorSettings SettingsFor(size_t maximum_in_flight_tasks) {
  JobCoordinatorSettings settings = JobCoordinatorCluster::Settings();
  settings.maximum_in_flight_tasks = maximum_in_flight_tasks;
  return settings;
}

void AssertCallersAnswered(const JobCoordinatorCluster& cluster) {
  for (const JobCoordinatorCluster::Call& call : cluster.calls) {
    const JobCoordinatorCluster::Host& host = cluster.hosts[call.host];
    bool is_caller_connected = host.job_coordinator && host.incarnation == call.incarnation;
    RC_ASSERT(call.result_count <= 1);
    RC_ASSERT((!is_caller_connected || call.result_count == 1));
  }
}

bool IsHostLoss(const Event& event) {
  return event.kind == EventKind::kKill || event.kind == EventKind::kIsolate;
}

void AddEndedJobs(JobCoordinatorCluster& cluster, std::set<base::SubmissionId>& ended_jobs) {
  for (const JobCoordinatorCluster::Call& call : cluster.calls) {
    if (cluster.IsEnded(call.id)) {
      ended_jobs.insert(call.id);
    }
  }
}

void RenewCopiesAfterLoss(EventApplier& applier) {
  applier.cluster.DecideView();
  applier.cluster.LearnAllViews();
  applier.cluster.RenewCopies();
}

bool CheckProperty(const std::string& name, int case_count, const std::function<void()>& property) {
  rc::detail::TestMetadata metadata;
  metadata.id = name;
  metadata.description = name;
  rc::detail::TestParams params = rc::detail::configuration().testParams;
  params.maxSuccess = std::max(params.maxSuccess, case_count);
  params.maxSize = kMaximumEvents;
  auto result = rc::detail::checkTestable(property, metadata, params);
  rc::detail::printResultMessage(result, std::cerr);
  std::cerr << std::endl;
  return result.template is<rc::detail::SuccessResult>();
}

}  // namespace

TEST_GROUP(JobCoordinatorProperty){};

// Guards against second starts, partial, repeated or missing results and incorrect verdicts under
// any order of messages, faults, views and cancellations.
TEST(JobCoordinatorProperty, AnyFaultsKeepInvariants) {
  CHECK(CheckProperty("any faults", kCaseCount, [] {
    EventApplier applier(SettingsFor(*rc::gen::inRange<size_t>(1, 3)));
    for (const Event& event : *rc::gen::container<std::vector<Event>>(AnyEvent())) {
      applier.Apply(event);
    }
    applier.cluster.RunUntilSettled();
    RC_ASSERT(applier.cluster.violations == std::vector<std::string>());
    AssertCallersAnswered(applier.cluster);
  }));
}

// Guards against the loss of an accepted job that always had a live copy: hosts die or are cut off
// one at a time, with time to renew the copies in between, and join at any time. Copies of ended
// jobs are not renewed.
TEST(JobCoordinatorProperty, SingleHostLossesLoseNoAcceptedJob) {
  CHECK(CheckProperty("single losses", kCaseCount, [] {
    EventApplier applier(SettingsFor(*rc::gen::inRange<size_t>(1, 3)));
    JobCoordinatorCluster& cluster = applier.cluster;
    std::set<base::SubmissionId> ended_jobs;
    for (const Event& event : *rc::gen::container<std::vector<Event>>(AnyEvent())) {
      if (IsHostLoss(event) && cluster.member_count() < kMinimumMembersBeforeLoss) {
        continue;
      }
      if (IsHostLoss(event)) {
        AddEndedJobs(cluster, ended_jobs);
        applier.Apply(event);
        RenewCopiesAfterLoss(applier);
      } else {
        applier.Apply(event);
      }
    }
    cluster.RunUntilSettled();
    RC_ASSERT(cluster.violations == std::vector<std::string>());
    AssertCallersAnswered(cluster);
    for (const JobCoordinatorCluster::Call& call : cluster.calls) {
      RC_ASSERT((!call.is_accepted || ended_jobs.count(call.id) > 0 || cluster.IsKnown(call.id)));
    }
  }));
}

}  // namespace sapphirecrank::jobs
