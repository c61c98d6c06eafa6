#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/manual_clock.h"
#include "gateway/allocator_selector.h"
#include "gateway/job_dispatcher.h"
#include "tests/gateway/fake_allocator.h"

namespace sapphirecrank::gateway {

namespace {

using base::HostId;
using base::SubmissionId;
using std::chrono::milliseconds;

constexpr size_t kAllocatorCount = 3;
constexpr int kCaseCount = 3000;
constexpr int kMaximumEvents = 120;

enum class EventKind {
  kSubmit,
  kResubmit,
  kLeave,
  kCancel,
  kDeliver,
  kStart,
  kSucceed,
  kLoseRun,
  kFailBatch,
  kRefuseBatch,
  kReturn,
  kReport,
  kRecall,
  kCut,
  kLose,
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
  auto kind = rc::gen::weightedElement<EventKind>({{8, EventKind::kSubmit},
                                                   {2, EventKind::kResubmit},
                                                   {1, EventKind::kLeave},
                                                   {1, EventKind::kCancel},
                                                   {40, EventKind::kDeliver},
                                                   {20, EventKind::kStart},
                                                   {10, EventKind::kSucceed},
                                                   {8, EventKind::kLoseRun},
                                                   {1, EventKind::kFailBatch},
                                                   {4, EventKind::kRefuseBatch},
                                                   {12, EventKind::kReturn},
                                                   {12, EventKind::kReport},
                                                   {10, EventKind::kRecall},
                                                   {1, EventKind::kCut},
                                                   {1, EventKind::kLose},
                                                   {6, EventKind::kAdvance}});
  return rc::gen::construct<Event>(kind, rc::gen::resize(100, rc::gen::arbitrary<uint32_t>()),
                                   rc::gen::resize(100, rc::gen::arbitrary<uint32_t>()));
}

/// What has happened to one submission of a job, whether or not its gateway knows.
struct Submission {
  bool has_caller = true;
  bool has_started = false;
  int result_count = 0;
  JobResult result;
  std::map<runs::JobTaskKey, base::RunNumber> last_runs;
  std::set<runs::JobTaskKey> done_tasks;
  size_t task_count = 0;
};

/// One gateway and three allocators, whose messages are delivered in order by each connection, but
/// in any order between the connections.
class MovingTasksModel {
 public:
  MovingTasksModel();

  void Apply(const Event& event);
  /// Delivers all messages and lets the deadlines of all jobs pass.
  void Settle();
  void AssertResults() const;

  std::vector<std::string> violations;

 private:
  struct Link {
    std::deque<std::function<void()>> to_gateway;
    std::deque<std::function<void()>> to_allocator;
    bool is_cut = false;
  };

  JobDispatcher::Hooks MakeHooks();
  FakeAllocator::Hooks AllocatorHooks(size_t index);
  void Submit(const SubmissionId& id, uint32_t shape);
  void ApplyAllocatorEvent(const Event& event, size_t index);
  void PlaceBatch(size_t index, const runs::TaskBatch& batch);
  void OnStart(const runs::BatchKey& key, const runs::JobTaskKey& task, base::RunNumber run);
  void Lose(size_t index);
  void DeliverAny(size_t position);
  /// Returns whether there was a message.
  bool Deliver(size_t index, bool to_gateway);
  static size_t IndexOf(const HostId& host) { return std::stoul(host.value()); }

  base::ManualClock clock;
  AllocatorSelector selector{base::DataCentreId("d"), this->clock.AsClock()};
  std::vector<std::unique_ptr<FakeAllocator>> allocators;
  std::vector<Link> links{kAllocatorCount};
  std::vector<Submission> submissions;
  std::vector<SubmissionId> ids;
  /// The last submission with each id.
  std::map<SubmissionId, size_t> current_submissions;
  std::map<base::BatchNumber, size_t> submissions_by_batch;
  double random_number = 0;
  JobDispatcher dispatcher{HostId("gateway"), this->MakeHooks()};
};

MovingTasksModel::MovingTasksModel() {
  for (size_t i = 0; i < kAllocatorCount; ++i) {
    this->allocators.push_back(
        std::make_unique<FakeAllocator>(base::TaskCount(6), this->AllocatorHooks(i)));
    this->selector.OnCapacityReport(HostId(std::to_string(i)),
                                    this->allocators[i]->Report(this->clock.Now()));
  }
}

JobDispatcher::Hooks MovingTasksModel::MakeHooks() {
  JobDispatcher::Hooks hooks;
  hooks.now = this->clock.AsClock();
  hooks.choose_allocator = [this](const AllocatorRequest& request) {
    return this->selector.ChooseAllocator(request);
  };
  hooks.expected_wait = [](const base::ServiceId&, base::TaskCount, const runs::TaskRequirements&,
                           base::Priority) -> std::optional<base::Duration> {
    return std::nullopt;
  };
  hooks.place_batch = [this](const HostId& host, const runs::TaskBatch& batch) {
    if (this->links[IndexOf(host)].is_cut) {
      return false;
    }
    this->PlaceBatch(IndexOf(host), batch);
    return true;
  };
  hooks.cancel_job = [this](const HostId& host, const SubmissionId& job) {
    this->links[IndexOf(host)].to_allocator.push_back(
        [this, host, job] { this->allocators[IndexOf(host)]->Cancel(HostId("gateway"), job); });
  };
  hooks.on_job_end = [](const Job&, const JobResult&, base::Duration) {};
  hooks.on_allocator_unreachable = [this](const HostId& host) {
    this->selector.OnAllocatorLost(host);
  };
  hooks.allocator_capacities = [this] { return this->selector.RecentCapacities(); };
  hooks.recall_batch = [this](const HostId& host, const runs::BatchRecall& recall) {
    this->links[IndexOf(host)].to_allocator.push_back([this, host, recall] {
      this->allocators[IndexOf(host)]->Recall(HostId("gateway"), recall);
    });
  };
  hooks.on_batch_move = [](const BatchMove&) {};
  hooks.random_unit = [this] { return this->random_number; };
  return hooks;
}

FakeAllocator::Hooks MovingTasksModel::AllocatorHooks(size_t index) {
  const HostId host(std::to_string(index));
  FakeAllocator::Hooks hooks;
  hooks.on_batch_end = [this, index, host](const runs::BatchResult& result) {
    this->links[index].to_gateway.push_back(
        [this, host, result] { this->dispatcher.OnBatchEnd(host, result); });
  };
  hooks.on_tasks_returned = [this, index, host](const runs::ReturnedTasks& returned) {
    this->links[index].to_gateway.push_back(
        [this, host, returned] { this->dispatcher.OnTasksReturned(host, returned); });
  };
  hooks.on_start = [this](const runs::BatchKey& key, const runs::JobTaskKey& task,
                          base::RunNumber run) { this->OnStart(key, task, run); };
  hooks.on_task_done = [this](const runs::BatchKey& key, const runs::JobTaskKey& task) {
    this->submissions[this->submissions_by_batch.at(key.batch)].done_tasks.insert(task);
  };
  return hooks;
}

void MovingTasksModel::PlaceBatch(size_t index, const runs::TaskBatch& batch) {
  const size_t submission = this->current_submissions.at(batch.key.job);
  if (!this->submissions_by_batch.emplace(batch.key.batch, submission).second) {
    this->violations.emplace_back("a batch number was used twice");
  }
  for (const auto& allocator : this->allocators) {
    for (const auto& [key, open_batch] : allocator->open_batches()) {
      for (const FakeAllocator::Task& open_task : open_batch.tasks) {
        for (const runs::BatchTask& task : batch.tasks) {
          if (this->submissions_by_batch.at(key.batch) == submission && open_task.key == task.key) {
            this->violations.emplace_back("a task was placed while another allocator had it");
          }
        }
      }
    }
  }
  this->links[index].to_allocator.push_back(
      [this, index, batch] { this->allocators[index]->Place(batch, this->clock.Now()); });
}

void MovingTasksModel::OnStart(const runs::BatchKey& key, const runs::JobTaskKey& task,
                               base::RunNumber run) {
  Submission& submission = this->submissions[this->submissions_by_batch.at(key.batch)];
  if (submission.result_count > 0 && submission.result.outcome == JobResult::Outcome::kNotRun) {
    this->violations.emplace_back("a task of a refused job was started");
  }
  if (submission.done_tasks.count(task) > 0) {
    this->violations.emplace_back("a task that is done was started");
  }
  for (const auto& allocator : this->allocators) {
    for (const auto& [other_key, batch] : allocator->open_batches()) {
      for (const FakeAllocator::Task& other : batch.tasks) {
        if (other_key.batch != key.batch && other.key == task && other.is_active &&
            this->submissions_by_batch.at(other_key.batch) ==
                this->submissions_by_batch.at(key.batch)) {
          this->violations.emplace_back("two runs of a task are active");
        }
      }
    }
  }
  const auto [last_run, is_first] = submission.last_runs.emplace(task, run);
  if (!is_first && run <= last_run->second) {
    this->violations.emplace_back("a run number isn't higher than the last one");
  }
  last_run->second = run;
  submission.has_started = true;
}

void MovingTasksModel::Submit(const SubmissionId& id, uint32_t shape) {
  Job job;
  job.id = id;
  job.service = base::ServiceId("s");
  job.time_left = milliseconds(500);
  job.latency_objective = milliseconds(200);
  for (uint32_t i = 0; i < 1 + shape % 2; ++i) {
    JobStep step;
    step.task_count = base::TaskCount(1 + shape % 3);
    step.estimated_run_time = milliseconds(20);
    if (shape % 4 != 3 && i > 0) {
      step.dependencies.emplace_back(i - 1);
    }
    job.steps.push_back(step);
  }
  const size_t index = this->submissions.size();
  this->submissions.emplace_back();
  this->submissions.back().task_count = job.steps.size() * (1 + shape % 3);
  const auto current = this->current_submissions.find(id);
  if (current != this->current_submissions.end() &&
      this->submissions[current->second].result_count == 0 &&
      this->submissions[current->second].has_caller) {
    // The job is in progress and gets a further caller.
    this->submissions.pop_back();
    return;
  }
  this->current_submissions[id] = index;
  this->dispatcher.Submit(std::move(job), index, [this, index](const JobResult& result) {
    ++this->submissions[index].result_count;
    this->submissions[index].result = result;
  });
}

void MovingTasksModel::Apply(const Event& event) {
  const size_t index = event.first_choice % kAllocatorCount;
  this->random_number = (event.second_choice % 8) / 8.0;
  switch (event.kind) {
    case EventKind::kSubmit:
      this->ids.emplace_back("j" + std::to_string(this->ids.size()));
      this->Submit(this->ids.back(), event.first_choice);
      return;
    case EventKind::kResubmit:
      if (!this->ids.empty()) {
        this->Submit(this->ids[event.second_choice % this->ids.size()], event.first_choice);
      }
      return;
    case EventKind::kLeave:
    case EventKind::kCancel:
      if (!this->ids.empty()) {
        const SubmissionId& id = this->ids[event.second_choice % this->ids.size()];
        const size_t submission = this->current_submissions.at(id);
        if (event.kind == EventKind::kCancel) {
          this->dispatcher.Cancel(id);
        } else if (this->submissions[submission].result_count == 0) {
          this->submissions[submission].has_caller = false;
          this->dispatcher.RemoveCaller(id, submission);
        }
      }
      return;
    case EventKind::kDeliver:
      this->DeliverAny(event.second_choice);
      return;
    case EventKind::kRecall:
      this->dispatcher.RecallWaitingBatches();
      return;
    case EventKind::kAdvance:
      this->clock.Advance(milliseconds(event.second_choice % 60));
      this->dispatcher.Tick();
      return;
    case EventKind::kCut:
      this->links[index].is_cut = true;
      return;
    case EventKind::kLose:
      this->Lose(index);
      return;
    case EventKind::kReport:
      this->links[index].to_gateway.push_back(
          [this, index, report = this->allocators[index]->Report(this->clock.Now())] {
            this->selector.OnCapacityReport(HostId(std::to_string(index)), report);
            this->dispatcher.RecallWaitingBatches();
          });
      return;
    default:
      this->ApplyAllocatorEvent(event, index);
  }
}

void MovingTasksModel::ApplyAllocatorEvent(const Event& event, size_t index) {
  while (index < kAllocatorCount && this->allocators[index]->open_batches().empty()) {
    ++index;
  }
  if (index == kAllocatorCount) {
    return;
  }
  FakeAllocator& allocator = *this->allocators[index];
  const auto& batches = allocator.open_batches();
  const auto& [key, batch] =
      *std::next(batches.begin(), static_cast<int64_t>(event.second_choice % batches.size()));
  const runs::BatchKey batch_key = key;
  if (event.kind == EventKind::kReturn) {
    allocator.ReturnWaiting(batch_key, event.first_choice % 2 == 0 ? SIZE_MAX : 1, "returned");
    return;
  }
  if (event.kind == EventKind::kRefuseBatch || event.kind == EventKind::kFailBatch) {
    allocator.EndBatch(batch_key, event.kind == EventKind::kFailBatch
                                      ? runs::BatchResult::Outcome::kFailed
                                  : batch.has_started ? runs::BatchResult::Outcome::kUnfinished
                                                      : runs::BatchResult::Outcome::kNotRun);
    return;
  }
  const size_t position = event.first_choice / kAllocatorCount % batch.tasks.size();
  const FakeAllocator::Task& task = batch.tasks[position];
  if (event.kind == EventKind::kStart && !task.is_active && !task.is_done) {
    allocator.Start(batch_key, position, this->clock.Now());
  } else if (event.kind == EventKind::kSucceed && task.is_active) {
    allocator.EndRun(batch_key, position, true, this->clock.Now());
  } else if (event.kind == EventKind::kLoseRun && task.is_active) {
    allocator.EndRun(batch_key, position, false, this->clock.Now());
  }
}

void MovingTasksModel::Lose(size_t index) {
  // What is on the way is lost with the connection, in both directions.
  this->links[index] = Link();
  this->allocators[index]->Reset();
  this->selector.OnAllocatorLost(HostId(std::to_string(index)));
  this->dispatcher.OnAllocatorLost(HostId(std::to_string(index)));
}

void MovingTasksModel::DeliverAny(size_t position) {
  // Tries the queues in turn, so that most events deliver a message.
  for (size_t i = 0; i < 2 * kAllocatorCount; ++i) {
    const size_t queue = (position + i) % (2 * kAllocatorCount);
    if (this->Deliver(queue / 2, queue % 2 == 0)) {
      return;
    }
  }
}

bool MovingTasksModel::Deliver(size_t index, bool to_gateway) {
  auto& messages = to_gateway ? this->links[index].to_gateway : this->links[index].to_allocator;
  const bool has_message = !messages.empty();
  if (has_message) {
    const std::function<void()> message = std::move(messages.front());
    messages.pop_front();
    message();
  }
  return has_message;
}

void MovingTasksModel::Settle() {
  for (int round = 0; round < 50; ++round) {
    for (size_t i = 0; i < kAllocatorCount; ++i) {
      while (!this->links[i].to_gateway.empty() || !this->links[i].to_allocator.empty()) {
        this->Deliver(i, true);
        this->Deliver(i, false);
      }
    }
    this->clock.Advance(milliseconds(25));
    this->dispatcher.Tick();
  }
}

void MovingTasksModel::AssertResults() const {
  for (const Submission& submission : this->submissions) {
    RC_ASSERT(submission.result_count <= 1);
    RC_ASSERT((!submission.has_caller || submission.result_count == 1));
    if (submission.result_count == 0) {
      continue;
    }
    if (submission.result.outcome == JobResult::Outcome::kNotRun) {
      RC_ASSERT(!submission.has_started);
    }
    if (submission.result.outcome == JobResult::Outcome::kCompleted) {
      RC_ASSERT(submission.done_tasks.size() == submission.task_count);
    }
  }
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

TEST_GROUP(JobDispatcherProperty){};

// Guards against second runs of a task, tasks that are forgotten or placed twice, and missing,
// repeated or untrue results, for any order of results, returns, recalls, losses and messages.
TEST(JobDispatcherProperty, MovingTasksKeepsInvariants) {
  CHECK(CheckProperty("moving tasks", kCaseCount, [] {
    MovingTasksModel model;
    for (const Event& event : *rc::gen::container<std::vector<Event>>(AnyEvent())) {
      model.Apply(event);
    }
    model.Settle();
    RC_ASSERT(model.violations == std::vector<std::string>());
    model.AssertResults();
  }));
}

}  // namespace sapphirecrank::gateway
