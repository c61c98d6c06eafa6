#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>
#include <vector>

#include "tests/jobs/job_coordinator_cluster.h"

namespace sapphirecrank::jobs {

namespace {

using std::chrono::milliseconds;

constexpr size_t kHosts = 4;
// After the loss of a member two are left, so that each job has two holders again.
constexpr size_t kMembersForRepair = 3;
constexpr int kCases = 5000;
constexpr int kMaxEvents = 200;

enum class EventKind {
  kSubmit,
  kResubmit,
  kConflict,
  kDeliver,
  kDrop,
  kDuplicate,
  kRun,
  kFail,
  kRefuse,
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
  uint32_t a;
  uint32_t b;
};

void showValue(const Event& event, std::ostream& out) {
  out << static_cast<int>(event.kind) << "/" << event.a << "/" << event.b;
}

rc::Gen<Event> AnyEvent() {
  auto kind = rc::gen::weightedElement<EventKind>(
      {{6, EventKind::kSubmit},     {6, EventKind::kResubmit},     {1, EventKind::kConflict},
       {60, EventKind::kDeliver},   {4, EventKind::kDrop},         {4, EventKind::kDuplicate},
       {20, EventKind::kRun},       {1, EventKind::kFail},         {4, EventKind::kRefuse},
       {1, EventKind::kLose},       {4, EventKind::kRepeatReport}, {2, EventKind::kKill},
       {3, EventKind::kRestart},    {3, EventKind::kIsolate},      {4, EventKind::kHeal},
       {5, EventKind::kDecideView}, {16, EventKind::kLearn},       {1, EventKind::kCancel},
       {1, EventKind::kCancelTeam}, {12, EventKind::kAdvance}});
  return rc::gen::construct<Event>(kind, rc::gen::resize(100, rc::gen::arbitrary<uint32_t>()),
                                   rc::gen::resize(100, rc::gen::arbitrary<uint32_t>()));
}

class EventPlayer {
 public:
  explicit EventPlayer(JobCoordinatorSettings settings) : cluster(kHosts, settings) {}

  void Play(const Event& event);

  JobCoordinatorCluster cluster;

 private:
  void PlayCaller(const Event& event, size_t host);
  void PlayMessage(const Event& event);
  void PlayTarget(const Event& event);
  void PlayHost(const Event& event, size_t host);

  std::vector<base::SubmissionId> ids;
};

void EventPlayer::Play(const Event& event) {
  size_t host = event.a % kHosts;
  switch (event.kind) {
    case EventKind::kSubmit:
    case EventKind::kResubmit:
    case EventKind::kConflict:
    case EventKind::kCancel:
    case EventKind::kCancelTeam:
      if (this->cluster.hosts[host].job_coordinator) {
        this->PlayCaller(event, host);
      }
      break;
    case EventKind::kDeliver:
    case EventKind::kDrop:
    case EventKind::kDuplicate:
      if (!this->cluster.messages.empty()) {
        this->PlayMessage(event);
      }
      break;
    case EventKind::kRun:
    case EventKind::kFail:
    case EventKind::kRefuse:
    case EventKind::kLose:
      if (!this->cluster.pending.empty()) {
        this->PlayTarget(event);
      }
      break;
    case EventKind::kRepeatReport:
      if (!this->cluster.reports.empty()) {
        this->cluster.Report(this->cluster.reports[event.b % this->cluster.reports.size()], host);
      }
      break;
    case EventKind::kAdvance:
      this->cluster.Advance(milliseconds(event.a % 8 == 0 ? event.b % 3000 : event.b % 60));
      break;
    default:
      this->PlayHost(event, host);
  }
}

void EventPlayer::PlayCaller(const Event& event, size_t host) {
  JobCoordinator& ledger = *this->cluster.hosts[host].job_coordinator;
  if (event.kind == EventKind::kSubmit || this->ids.empty()) {
    this->ids.push_back(this->cluster.NewId());
    this->cluster.Submit(event.b % 4 == 0 ? host : this->cluster.OwnerOfOr(this->ids.back(), host),
                         this->ids.back());
    return;
  }
  const base::SubmissionId& id = this->ids[event.b % this->ids.size()];
  if (event.kind == EventKind::kResubmit) {
    this->cluster.Submit(host, id);
  } else if (event.kind == EventKind::kConflict) {
    this->cluster.Submit(host, id, 2, "other");
  } else if (event.kind == EventKind::kCancel) {
    ledger.CancelJob(id);
  } else {
    ledger.CancelJobsOfTeam(base::TeamId("even"));
  }
}

void EventPlayer::PlayMessage(const Event& event) {
  // Mostly in order, as on one connection.
  size_t count = this->cluster.messages.size();
  size_t position = event.a % 4 == 0 ? event.b % count : 0;
  if (event.kind == EventKind::kDeliver) {
    this->cluster.Deliver(position);
  } else if (event.kind == EventKind::kDrop) {
    this->cluster.Drop(position);
  } else {
    this->cluster.Duplicate(position);
  }
}

void EventPlayer::PlayTarget(const Event& event) {
  size_t position = event.b % this->cluster.pending.size();
  if (event.kind == EventKind::kRefuse) {
    this->cluster.Refuse(position);
  } else if (event.kind == EventKind::kLose) {
    this->cluster.Lose(position, event.a % 2 == 0);
  } else {
    this->cluster.Run(position, event.kind == EventKind::kRun);
  }
}

void EventPlayer::PlayHost(const Event& event, size_t host) {
  bool alive = this->cluster.hosts[host].job_coordinator != nullptr;
  if (event.kind == EventKind::kKill && alive && this->cluster.alive_count() > 2) {
    this->cluster.Kill(host);
  } else if (event.kind == EventKind::kRestart && !alive && event.b % 2 == 0) {
    this->cluster.Restart(host);
  } else if (event.kind == EventKind::kRestart && !alive) {
    this->cluster.RestartInView(host);
  } else if (event.kind == EventKind::kIsolate) {
    this->cluster.Isolate(host);
  } else if (event.kind == EventKind::kHeal) {
    this->cluster.Heal(host);
  } else if (event.kind == EventKind::kDecideView) {
    this->cluster.DecideView();
  } else if (event.kind == EventKind::kLearn) {
    this->cluster.Learn(host);
  }
}

JobCoordinatorSettings SettingsFor(size_t start_window) {
  JobCoordinatorSettings settings = JobCoordinatorCluster::Settings();
  settings.maximum_in_flight_tasks = start_window;
  return settings;
}

void AssertCallersAnswered(const JobCoordinatorCluster& cluster) {
  for (const JobCoordinatorCluster::Call& call : cluster.calls) {
    const JobCoordinatorCluster::Host& host = cluster.hosts[call.host];
    bool caller_connected = host.job_coordinator && host.incarnation == call.incarnation;
    RC_ASSERT(call.result_count <= 1);
    RC_ASSERT((!caller_connected || call.result_count == 1));
  }
}

bool IsLoss(const Event& event) {
  return event.kind == EventKind::kKill || event.kind == EventKind::kIsolate;
}

void AddEnded(JobCoordinatorCluster& cluster, std::set<base::SubmissionId>& ended) {
  for (const JobCoordinatorCluster::Call& call : cluster.calls) {
    if (cluster.IsEnded(call.id)) {
      ended.insert(call.id);
    }
  }
}

void RepairAfterLoss(EventPlayer& player) {
  player.cluster.DecideView();
  player.cluster.LearnAll();
  player.cluster.Repair();
}

bool CheckSequences(const std::string& name, int cases, const std::function<void()>& property) {
  rc::detail::TestMetadata metadata;
  metadata.id = name;
  metadata.description = name;
  rc::detail::TestParams params = rc::detail::configuration().testParams;
  params.maxSuccess = std::max(params.maxSuccess, cases);
  params.maxSize = kMaxEvents;
  auto result = rc::detail::checkTestable(property, metadata, params);
  rc::detail::printResultMessage(result, std::cerr);
  std::cerr << std::endl;
  return result.template is<rc::detail::SuccessResult>();
}

}  // namespace

TEST_GROUP(SubmissionLedgerProperty){};

// Guards against second starts, partial, repeated or missing answers and untrue verdicts under any
// order of messages, faults, views and cancellations.
TEST(SubmissionLedgerProperty, AnyFaultsKeepInvariants) {
  CHECK(CheckSequences("any faults", kCases, [] {
    EventPlayer player(SettingsFor(*rc::gen::inRange<size_t>(1, 3)));
    for (const Event& event : *rc::gen::container<std::vector<Event>>(AnyEvent())) {
      player.Play(event);
    }
    player.cluster.Settle();
    RC_ASSERT(player.cluster.violations == std::vector<std::string>());
    AssertCallersAnswered(player.cluster);
  }));
}

// Guards against an accepted job that is lost although one copy of it lived at any time: hosts die
// or are cut off one at a time, with a repair in between, and join at any time. Copies of ended
// jobs are not renewed.
TEST(SubmissionLedgerProperty, SingleLossesLoseNoAcceptedJob) {
  CHECK(CheckSequences("single losses", kCases, [] {
    EventPlayer player(SettingsFor(*rc::gen::inRange<size_t>(1, 3)));
    JobCoordinatorCluster& cluster = player.cluster;
    std::set<base::SubmissionId> ended;
    for (const Event& event : *rc::gen::container<std::vector<Event>>(AnyEvent())) {
      if (IsLoss(event) && cluster.member_count() < kMembersForRepair) {
        continue;
      }
      if (IsLoss(event)) {
        AddEnded(cluster, ended);
        player.Play(event);
        RepairAfterLoss(player);
      } else {
        player.Play(event);
      }
    }
    cluster.Settle();
    RC_ASSERT(cluster.violations == std::vector<std::string>());
    AssertCallersAnswered(cluster);
    for (const JobCoordinatorCluster::Call& call : cluster.calls) {
      RC_ASSERT((!call.accepted || ended.count(call.id) > 0 || cluster.IsKnown(call.id)));
    }
  }));
}

}  // namespace sapphirecrank::jobs
