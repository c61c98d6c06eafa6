#include "runs/service_scheduler.h"

#include <algorithm>
#include <string>

namespace sapphirecrank::runs {

using base::Duration;
using base::Resources;
using base::TargetId;
using base::TimePoint;
using std::chrono::milliseconds;

namespace {

constexpr Duration kBackoffAfterFailure = milliseconds(500);
constexpr Duration kBackoffWhenUnhealthy = milliseconds(1000);
constexpr Duration kBackoffBeforeLeaseEnd = milliseconds(100);
constexpr Duration kStopRetryDelay = milliseconds(100);
// An answer that takes longer than the target held it back and this is asked for again: several
// round trips between data centres. Doubled for each further look, for targets that are slow.
constexpr Duration kPollTimeout = milliseconds(80);
constexpr int kMaximumTimeoutDoublings = 3;
constexpr Duration kPollRetryDelay = milliseconds(50);
// Ends that nothing follows on are acknowledged after this long, well inside the platform's bound
// of seconds, so that a busy target needs no look for it.
constexpr Duration kMaximumAcknowledgementDelay = milliseconds(500);
// Targets return at most this many ends at once; a run that is in neither list may be further on.
constexpr size_t kMaximumListedEnds = 500;
constexpr double kMeanSmoothingFactor = 0.02;

}  // namespace

ServiceScheduler::ServiceScheduler() : ServiceScheduler(SchedulerSettings()) {}

ServiceScheduler::ServiceScheduler(const SchedulerSettings& settings)
    : settings(settings), gateway_liveness(settings) {}

void ServiceScheduler::OnTargetReport(const TargetReport& report, base::FencingToken token,
                                      TimePoint now, SchedulerActions& effects) {
  auto found = this->targets.find(report.id);
  if (found != this->targets.end()) {
    const TargetReport& known = found->second.report;
    if (report.incarnation < known.incarnation ||
        (report.incarnation == known.incarnation &&
         report.sequence_number <= known.sequence_number)) {
      return;
    }
    if (report.incarnation != known.incarnation || report.address != known.address) {
      this->DropTarget(report.id, TimePoint(), "a new life of the target has reported", now,
                       effects);
      found = this->targets.end();
    }
  }
  if (report.has_left) {
    if (found != this->targets.end()) {
      found->second.report.is_draining = true;
      found->second.report.sequence_number = report.sequence_number;
    }
    return;
  }
  if (found == this->targets.end()) {
    found = this->targets.try_emplace(report.id).first;
    found->second.fencing_token = token;
    effects.decisions.push_back({"target adopted", {}, report.id, token, "first report"});
  }
  LeasedTarget& target = found->second;
  if (report.is_draining && !target.report.is_draining) {
    effects.decisions.push_back({"target draining", {}, report.id, token, "its report"});
  }
  target.report = report;
  target.clock_read_at = now;
  target.last_heard_at = now;
  this->PollIfDue(target, now, effects);
  this->StartQueuedTasks(now, effects);
}

void ServiceScheduler::ReleaseUnownedTargets(const IsTargetOwned& is_owned, TimePoint now,
                                             SchedulerActions& effects) {
  for (auto found = this->targets.begin(); found != this->targets.end();) {
    auto next = std::next(found);
    if (!is_owned(found->second.report)) {
      this->DropTarget(TargetId(found->first), found->second.lease_end,
                       "another host owns the target", now, effects);
    }
    found = next;
  }
  this->StartQueuedTasks(now, effects);
}

void ServiceScheduler::SetFencingToken(base::FencingToken token, bool was_owner, TimePoint now,
                                       SchedulerActions& effects) {
  for (auto& [id, target] : this->targets) {
    if (token <= target.fencing_token) {
      continue;
    }
    target.fencing_token = token;
    if (was_owner && target.phase != LeasedTarget::Phase::kFenced) {
      continue;
    }
    target.phase = LeasedTarget::Phase::kAdopting;
    target.is_poll_pending = false;
    target.next_poll_at = now;
    for (auto& [key, run] : target.runs) {
      run.had_other_owner = true;
    }
    effects.decisions.push_back({"target adopted", {}, id, token, "new token"});
    this->PollIfDue(target, now, effects);
  }
}

void ServiceScheduler::PlaceBatch(TaskBatch part, TimePoint now, SchedulerActions& effects) {
  // A resubmission through another gateway replaces what the first one placed.
  for (auto other = this->batches.lower_bound({base::HostId(), part.key.job, base::BatchNumber()});
       other != this->batches.end() && other->first.job == part.key.job;) {
    auto next = std::next(other);
    if (other->first.gateway != part.key.gateway || other->first.batch == part.key.batch) {
      this->EndBatch(other, BatchResult::Outcome::kUnfinished, "the job was submitted again", now,
                     effects);
    }
    other = next;
  }
  const BatchKey key = part.key;
  PlacedBatch& placed = this->batches[key];
  placed.payload = std::make_shared<const std::string>(std::move(part.payload));
  placed.tasks.resize(part.tasks.size());
  for (PlacedBatch::TaskState& task : placed.tasks) {
    task.last_run_number = base::RunNumber(part.first_run_number.value() - 1);
  }
  placed.unfinished_task_count = part.tasks.size();
  placed.arrived_at = now;
  placed.arrival_number = this->next_arrival_number++;
  for (const BatchTask& task : part.tasks) {
    const auto need = static_cast<double>(task.required_resources.processors.value());
    this->mean_required_processors +=
        this->mean_required_processors == 0
            ? need
            : kMeanSmoothingFactor * (need - this->mean_required_processors);
  }
  placed.batch = std::move(part);
  for (size_t i = placed.tasks.size(); i > 0; --i) {
    this->EnqueueTask(placed, i - 1);
  }
  this->StartQueuedTasks(now, effects);
}

void ServiceScheduler::CancelJob(const base::HostId& gateway, const base::SubmissionId& job,
                                 TimePoint now, SchedulerActions& effects) {
  for (auto found = this->batches.lower_bound({gateway, job, base::BatchNumber()});
       found != this->batches.end() && found->first.job == job &&
       found->first.gateway == gateway;) {
    auto next = std::next(found);
    this->EndBatch(found, std::nullopt, "cancelled by its gateway", now, effects);
    found = next;
  }
  this->StartQueuedTasks(now, effects);
}

void ServiceScheduler::CancelJobsOfGateway(const base::HostId& gateway, TimePoint now,
                                           SchedulerActions& effects) {
  for (auto found = this->batches.begin(); found != this->batches.end();) {
    auto next = std::next(found);
    if (found->first.gateway == gateway) {
      this->EndBatch(found, std::nullopt, "the gateway was lost", now, effects);
    }
    found = next;
  }
  this->StartQueuedTasks(now, effects);
}

void ServiceScheduler::OnGatewayAlive(const base::HostId& gateway, TimePoint alive_at,
                                      TimePoint now, SchedulerActions& effects) {
  const bool was_alive = this->gateway_liveness.IsAlive(gateway, now);
  this->gateway_liveness.RecordAlive(gateway, alive_at);
  if (!was_alive) {
    this->StartQueuedTasks(now, effects);
  }
}

bool ServiceScheduler::CanStartRuns(const LeasedTarget& target, TimePoint now) const {
  return target.phase == LeasedTarget::Phase::kInUse && !target.report.is_draining &&
         !target.pending_acknowledgements.IsAwaitingLeaseExpiry() &&
         target.unknown_run_count == 0 && now >= target.backoff_until &&
         now - target.last_heard_at < this->settings.target_silence_limit;
}

LeasedTarget* ServiceScheduler::ChooseTarget(const PlacementRule& rule, const BatchTask& task,
                                             TimePoint now) {
  // Best fit keeps whole targets free for tasks that need much.
  LeasedTarget* best = nullptr;
  base::MilliCores best_free;
  for (auto& [id, target] : this->targets) {
    const Resources free = target.FreeResources();
    if (free.CanFit(task.required_resources) && this->CanStartRuns(target, now) &&
        (best == nullptr || free.processors < best_free) &&
        target.SatisfiesPlacementRule(rule, task.key)) {
      best = &target;
      best_free = free.processors;
    }
  }
  return best;
}

void ServiceScheduler::StartQueuedTasks(TimePoint now, SchedulerActions& effects) {
  for (auto next = this->batch_queue.begin(); next != this->batch_queue.end();) {
    PlacedBatch& placed = this->batches.at(next->second);
    if (!this->gateway_liveness.IsAlive(placed.batch.key.gateway, now)) {
      ++next;
      continue;
    }
    const bool is_placed = this->StartBatchTasks(placed, now, effects);
    if (!is_placed && !placed.batch.placement_rule.HasConstraints()) {
      // Parts behind this one must not take the room that it waits for.
      return;
    }
    next = placed.waiting_tasks.empty() ? this->batch_queue.erase(next) : std::next(next);
  }
}

bool ServiceScheduler::StartBatchTasks(PlacedBatch& placed, TimePoint now,
                                       SchedulerActions& effects) {
  std::vector<size_t> held;
  bool has_room = true;
  while (has_room && !placed.waiting_tasks.empty()) {
    const size_t task = placed.waiting_tasks.back();
    const BatchTask& wanted = placed.batch.tasks[task];
    if (this->reserved_tasks.count(wanted.key) > 0) {
      held.push_back(task);
      placed.waiting_tasks.pop_back();
      continue;
    }
    LeasedTarget* target = this->ChooseTarget(placed.batch.placement_rule, wanted, now);
    has_room = target != nullptr;
    if (has_room) {
      placed.waiting_tasks.pop_back();
      this->StartTask(placed, task, *target, now, effects);
    }
  }
  placed.waiting_tasks.insert(placed.waiting_tasks.end(), held.begin(), held.end());
  return has_room;
}

void ServiceScheduler::StartTask(PlacedBatch& placed, size_t task, LeasedTarget& target,
                                 TimePoint now, SchedulerActions& effects) {
  PlacedBatch::TaskState& state = placed.tasks[task];
  const BatchTask& wanted = placed.batch.tasks[task];
  state.last_run_number = state.last_run_number.Next();
  state.target = target.report.id;
  ++placed.start_count;
  const RunKey key{wanted.key, state.last_run_number};
  TargetRun run;
  run.batch = placed.batch.key;
  run.task_position = task;
  run.required_resources = wanted.required_resources;
  run.is_stored = placed.batch.is_stored;
  run.start_requested_at = now;
  target.used_resources += wanted.required_resources;
  target.runs.emplace(key, std::move(run));
  this->reserved_tasks.insert(key.task);
  StartRequest order;
  order.target = {target.report.id, target.report.address, target.fencing_token};
  order.key = key;
  order.payload = placed.payload;
  const Duration lease = this->gateway_liveness.MaximumLeaseFor(target, now);
  order.lease_end = target.ClockAt(now) + lease;
  target.ExtendLease(lease, now);
  effects.start_requests.push_back(std::move(order));
}

void ServiceScheduler::EnqueueTask(PlacedBatch& placed, size_t task) {
  placed.tasks[task].target = TargetId();
  placed.waiting_tasks.push_back(task);
  this->batch_queue.emplace(QueueKey(placed.batch.priority, placed.arrival_number),
                            placed.batch.key);
}

void ServiceScheduler::StopRun(LeasedTarget& target, const RunKey& key, TargetRun& run,
                               TimePoint now, SchedulerActions& effects) {
  run.phase = TargetRun::Phase::kStopping;
  if (run.is_stop_pending || run.stop_confirmed_at ||
      target.phase == LeasedTarget::Phase::kFenced) {
    return;
  }
  run.is_stop_pending = true;
  run.next_stop_at = now + kStopRetryDelay;
  effects.stop_requests.push_back(
      {{target.report.id, target.report.address, target.fencing_token}, key});
}

TargetRun ServiceScheduler::RemoveRun(LeasedTarget& target, const RunKey& key) {
  auto found = target.runs.find(key);
  const TargetRun run = found->second;
  target.used_resources -= run.required_resources;
  target.runs.erase(found);
  if (run.reserves_task) {
    this->reserved_tasks.erase(this->reserved_tasks.find(key.task));
  }
  return run;
}

void ServiceScheduler::RequeueTask(const LeasedTarget& target, const RunKey& key,
                                   const TargetRun& run, TimePoint now, SchedulerActions& effects) {
  auto found = this->batches.find(run.batch);
  if (run.is_orphan || found == this->batches.end()) {
    return;
  }
  PlacedBatch& placed = found->second;
  if (placed.tasks[run.task_position].last_run_number != key.run) {
    return;
  }
  const TaskBatch& part = placed.batch;
  if (part.is_stored &&
      key.run.value() + 1 >= part.first_run_number.value() + TaskBatch::kMaximumRunsPerTask) {
    this->ReturnTask(target, key, run, now, effects);
  } else {
    this->EnqueueTask(placed, run.task_position);
  }
}

void ServiceScheduler::ReturnTask(const LeasedTarget& target, const RunKey& key,
                                  const TargetRun& run, TimePoint now, SchedulerActions& effects) {
  auto found = this->batches.find(run.batch);
  if (run.is_orphan || found == this->batches.end() ||
      found->second.tasks[run.task_position].last_run_number != key.run) {
    return;
  }
  found->second.tasks[run.task_position].is_returned = true;
  AddRunEvent(target, key, RunEvent::Kind::kReturned, base::SequenceNumber(), effects);
  this->FinishTask(found, now, effects);
}

void ServiceScheduler::FinishTask(std::map<BatchKey, PlacedBatch>::iterator found, TimePoint now,
                                  SchedulerActions& effects) {
  PlacedBatch& placed = found->second;
  --placed.unfinished_task_count;
  if (placed.unfinished_task_count > 0) {
    return;
  }
  const bool is_done = std::all_of(placed.tasks.begin(), placed.tasks.end(),
                                   [](const PlacedBatch::TaskState& task) { return task.is_done; });
  if (is_done) {
    this->EndBatch(found, BatchResult::Outcome::kCompleted, "all tasks are done", now, effects);
  } else {
    this->EndBatch(found, BatchResult::Outcome::kUnfinished, "tasks were returned", now, effects);
  }
}

void ServiceScheduler::AddRunEvent(const LeasedTarget& target, const RunKey& key,
                                   RunEvent::Kind kind, base::SequenceNumber end,
                                   SchedulerActions& effects) {
  effects.run_events.push_back(
      {target.report.service, target.report.id, target.report.incarnation, end, key, kind});
}

void ServiceScheduler::AddRunEndEvent(LeasedTarget& target, const FinishedRun& end,
                                      SchedulerActions& effects) {
  if (end.outcome == FinishedRun::Outcome::kSucceeded ||
      end.outcome == FinishedRun::Outcome::kFailed) {
    target.pending_acknowledgements.Add(end.sequence_number);
    AddRunEvent(target, end.key,
                end.outcome == FinishedRun::Outcome::kSucceeded ? RunEvent::Kind::kSucceeded
                                                                : RunEvent::Kind::kFailed,
                end.sequence_number, effects);
  }
}

void ServiceScheduler::OnEventAcknowledgement(const RunEvent& notice, bool is_outdated,
                                              TimePoint now, SchedulerActions& effects) {
  auto found = this->targets.find(notice.target);
  if (found == this->targets.end() ||
      found->second.report.incarnation != notice.target_incarnation) {
    return;
  }
  LeasedTarget& target = found->second;
  if (!is_outdated) {
    target.pending_acknowledgements.MarkDurable(notice.end_sequence_number);
    return;
  }
  // A former owner may have extended the lease just before this host took the target over.
  LeasedTarget longest = target;
  longest.ExtendLease(this->settings.longest_lease, now);
  target.pending_acknowledgements.ExpireWithLease(notice.end_sequence_number, longest.lease_end);
  effects.decisions.push_back({"lease left to end", notice.key, target.report.id,
                               target.fencing_token,
                               "an end came after its task was placed again"});
}

void ServiceScheduler::OnStartResponse(const StartRequest& order, const TargetCallResponse& answer,
                                       TimePoint now, SchedulerActions& effects) {
  auto found = this->targets.find(order.target.id);
  if (found == this->targets.end() || found->second.runs.count(order.key) == 0) {
    return;
  }
  LeasedTarget& target = found->second;
  if (answer.target_clock) {
    target.report.clock = *answer.target_clock;
    target.clock_read_at = now;
  }
  if (answer.status != TargetCallStatus::kAccepted) {
    effects.decisions.push_back({"start not accepted", order.key, order.target.id,
                                 order.target.fencing_token,
                                 std::string(TargetCallStatusName(answer.status))});
  }
  TargetRun& run = target.runs.at(order.key);
  if (answer.status != TargetCallStatus::kNotSent) {
    target.RecordCallResult(answer.status != TargetCallStatus::kNoResponse,
                            now + kBackoffAfterFailure);
  }
  switch (answer.status) {
    case TargetCallStatus::kAccepted:
      run.start_confirmed_at = now;
      if (run.is_stored) {
        AddRunEvent(target, order.key, RunEvent::Kind::kStarted, base::SequenceNumber(), effects);
      }
      if (run.phase == TargetRun::Phase::kStarting) {
        run.phase = TargetRun::Phase::kRunning;
      }
      this->PollIfDue(target, now, effects);
      return;
    case TargetCallStatus::kNoResponse:
      this->StopRun(target, order.key, run, now, effects);
      return;
    case TargetCallStatus::kFenced:
      if (order.target.fencing_token == target.fencing_token) {
        this->MarkFenced(target, now, effects);
      } else {
        // This host's own later token was there first; the target has done nothing.
        this->RequeueTask(target, order.key, this->RemoveRun(target, order.key), now, effects);
      }
      break;
    case TargetCallStatus::kIncarnationMismatch:
      this->DropTarget(order.target.id, TimePoint(), "another life of the target answered", now,
                       effects);
      break;
    case TargetCallStatus::kInvalidRequest: {
      const TargetRun gone = this->RemoveRun(target, order.key);
      this->RecordRunFailure(target, order.key, gone, now, effects);
      break;
    }
    case TargetCallStatus::kStaleRunNumber:
    case TargetCallStatus::kLeaseExpired:
    case TargetCallStatus::kInsufficientCapacity:
    case TargetCallStatus::kUnhealthy:
    case TargetCallStatus::kNotSent: {
      if (answer.status != TargetCallStatus::kStaleRunNumber &&
          answer.status != TargetCallStatus::kLeaseExpired) {
        target.backoff_until =
            now + (answer.status == TargetCallStatus::kUnhealthy ? kBackoffWhenUnhealthy
                                                                 : kBackoffAfterFailure);
      }
      const TargetRun gone = this->RemoveRun(target, order.key);
      auto part = this->batches.find(gone.batch);
      if (part != this->batches.end()) {
        --part->second.start_count;
      }
      this->RequeueTask(target, order.key, gone, now, effects);
      break;
    }
  }
  this->StartQueuedTasks(now, effects);
}

void ServiceScheduler::OnStopResponse(const StopRequest& order, const TargetCallResponse& answer,
                                      TimePoint now, SchedulerActions& effects) {
  auto found = this->targets.find(order.target.id);
  if (found == this->targets.end()) {
    return;
  }
  LeasedTarget& target = found->second;
  if (answer.status == TargetCallStatus::kFenced &&
      order.target.fencing_token == target.fencing_token) {
    this->MarkFenced(target, now, effects);
    this->StartQueuedTasks(now, effects);
    return;
  }
  if (answer.status == TargetCallStatus::kIncarnationMismatch) {
    this->DropTarget(order.target.id, TimePoint(), "another life of the target answered", now,
                     effects);
    this->StartQueuedTasks(now, effects);
    return;
  }
  auto run = target.runs.find(order.key);
  if (run == target.runs.end()) {
    return;
  }
  run->second.is_stop_pending = false;
  target.RecordCallResult(answer.status != TargetCallStatus::kNoResponse,
                          now + kBackoffAfterFailure);
  if (answer.status == TargetCallStatus::kAccepted) {
    run->second.stop_confirmed_at = now;
    target.next_poll_at = now;
  }
  this->PollIfDue(target, now, effects);
}

void ServiceScheduler::OnPollResponse(const PollRequest& order, const PollResponse& answer,
                                      TimePoint now, SchedulerActions& effects) {
  auto found = this->targets.find(order.target.id);
  // A look from before an adoption says nothing of what an owner in between has done.
  if (found == this->targets.end() || !found->second.is_poll_pending ||
      order.sequence_number != found->second.last_poll_sequence_number) {
    return;
  }
  LeasedTarget& target = found->second;
  const TimePoint sent = target.last_poll_sent_at;
  target.is_poll_pending = false;
  const bool is_other_life = answer.status == TargetCallStatus::kIncarnationMismatch ||
                             (answer.status == TargetCallStatus::kAccepted &&
                              answer.run_list.incarnation != target.report.incarnation);
  if (is_other_life) {
    this->DropTarget(order.target.id, TimePoint(), "another life of the target answered", now,
                     effects);
  } else if (answer.status == TargetCallStatus::kAccepted) {
    target.report.clock = answer.run_list.clock;
    target.clock_read_at = now;
    target.last_heard_at = now;
    target.RecordCallResult(true, now + kBackoffAfterFailure);
    target.overdue_poll_count = 0;
    target.last_acknowledged_end = std::max(target.last_acknowledged_end, order.acknowledged_end);
    this->ReconcileRuns(target, answer.run_list, sent, now, effects);
  } else if (answer.status == TargetCallStatus::kFenced &&
             order.target.fencing_token == target.fencing_token) {
    this->MarkFenced(target, now, effects);
  } else {
    effects.decisions.push_back({"look failed",
                                 {},
                                 order.target.id,
                                 order.target.fencing_token,
                                 std::string(TargetCallStatusName(answer.status))});
    target.RecordCallResult(false, now + kBackoffAfterFailure);
    ++target.overdue_poll_count;
    target.next_poll_at = now + kPollRetryDelay;
    this->PollIfDue(target, now, effects);
  }
  this->StartQueuedTasks(now, effects);
}

void ServiceScheduler::ReconcileRuns(LeasedTarget& target, const TargetRunList& look,
                                     TimePoint sent, TimePoint now, SchedulerActions& effects) {
  for (const FinishedRun& end : look.finished_runs) {
    if (end.sequence_number > target.last_processed_end) {
      target.last_processed_end = end.sequence_number;
      this->OnRunEnd(target, end, now, effects);
    }
  }
  std::set<RunKey> listed;
  target.unknown_run_count = 0;
  for (const ActiveRun& active : look.active_runs) {
    listed.insert(active.key);
    auto run = target.runs.find(active.key);
    if (run == target.runs.end()) {
      ++target.unknown_run_count;
      effects.decisions.push_back({"unknown run stopped", active.key, target.report.id,
                                   target.fencing_token, "started by an earlier owner"});
      effects.stop_requests.push_back(
          {{target.report.id, target.report.address, target.fencing_token}, active.key});
    } else if (run->second.phase == TargetRun::Phase::kStarting) {
      run->second.phase = TargetRun::Phase::kRunning;
    }
  }
  std::vector<RunKey> gone;
  for (const auto& [key, run] : target.runs) {
    const bool was_there = run.start_confirmed_at && *run.start_confirmed_at < sent;
    const bool was_stopped = run.stop_confirmed_at && *run.stop_confirmed_at < sent;
    if ((was_there || was_stopped) && listed.count(key) == 0 &&
        look.finished_runs.size() < kMaximumListedEnds) {
      gone.push_back(key);
    }
  }
  for (const RunKey& key : gone) {
    const TargetRun run = this->RemoveRun(target, key);
    if (run.is_stored && run.had_other_owner) {
      this->ReturnTask(target, key, run, now, effects);
    } else {
      this->RequeueTask(target, key, run, now, effects);
    }
  }
  if (target.phase == LeasedTarget::Phase::kAdopting && target.unknown_run_count == 0) {
    target.phase = LeasedTarget::Phase::kInUse;
    effects.decisions.push_back({"target in use",
                                 {},
                                 target.report.id,
                                 target.fencing_token,
                                 "no runs of an earlier owner"});
  }
  if (target.phase == LeasedTarget::Phase::kAdopting || target.unknown_run_count > 0) {
    target.next_poll_at = now + kPollRetryDelay;
  }
  this->PollIfDue(target, now, effects);
}

void ServiceScheduler::OnRunEnd(LeasedTarget& target, const FinishedRun& end, TimePoint now,
                                SchedulerActions& effects) {
  if (target.runs.count(end.key) == 0) {
    // The run of an earlier owner may be of a stored job.
    AddRunEndEvent(target, end, effects);
    return;
  }
  const TargetRun run = this->RemoveRun(target, end.key);
  if (run.is_stored && !run.has_lease_expired) {
    AddRunEndEvent(target, end, effects);
  }
  auto found = this->batches.find(run.batch);
  if (run.is_orphan || found == this->batches.end()) {
    return;
  }
  PlacedBatch& placed = found->second;
  if (end.outcome == FinishedRun::Outcome::kSucceeded) {
    placed.tasks[run.task_position].is_done = true;
    this->FinishTask(found, now, effects);
  } else if (end.outcome == FinishedRun::Outcome::kFailed) {
    effects.decisions.push_back(
        {"run failed", end.key, target.report.id, target.fencing_token, "listed by the target"});
    this->RecordRunFailure(target, end.key, run, now, effects);
  } else {
    effects.decisions.push_back({"run ended early", end.key, target.report.id, target.fencing_token,
                                 "listed by the target"});
    this->RequeueTask(target, end.key, run, now, effects);
  }
}

void ServiceScheduler::RecordRunFailure(const LeasedTarget& target, const RunKey& key,
                                        const TargetRun& run, TimePoint now,
                                        SchedulerActions& effects) {
  auto found = this->batches.find(run.batch);
  if (run.is_orphan || found == this->batches.end()) {
    return;
  }
  PlacedBatch& placed = found->second;
  PlacedBatch::TaskState& task = placed.tasks[run.task_position];
  if (placed.batch.is_stored) {
    // The keeper counts the failures of stored jobs and has heard of this one.
    task.is_returned = true;
    this->FinishTask(found, now, effects);
    return;
  }
  task.failed_run_count = task.failed_run_count.Next();
  if (task.failed_run_count >= placed.batch.maximum_attempts) {
    this->EndBatch(found, BatchResult::Outcome::kFailed, "a task failed as often as it may", now,
                   effects);
  } else {
    this->RequeueTask(target, key, run, now, effects);
  }
}

void ServiceScheduler::AbandonRuns(LeasedTarget& target, TimePoint gone_at, const char* reason,
                                   TimePoint now, SchedulerActions& effects) {
  while (!target.runs.empty()) {
    const RunKey key = target.runs.begin()->first;
    if (target.runs.begin()->second.reserves_task && gone_at != TimePoint()) {
      this->reserved_tasks.insert(key.task);
      this->reservation_expiries.emplace(gone_at, key.task);
    }
    effects.decisions.push_back({"run lost", key, target.report.id, target.fencing_token, reason});
    const TargetRun run = this->RemoveRun(target, key);
    if (run.is_stored && gone_at != TimePoint()) {
      // The target's next owner may find that the run has done the task.
      this->ReturnTask(target, key, run, now, effects);
    } else {
      this->RequeueTask(target, key, run, now, effects);
    }
  }
}

void ServiceScheduler::OrphanRuns(LeasedTarget& target, TimePoint now, SchedulerActions& effects) {
  target.ExtendBackoff(now + kBackoffAfterFailure);
  for (auto& [key, run] : target.runs) {
    if (run.is_orphan) {
      continue;
    }
    effects.decisions.push_back({"run given up", key, target.report.id, target.fencing_token,
                                 "the lease of the silent target has ended"});
    if (run.reserves_task) {
      this->reserved_tasks.erase(this->reserved_tasks.find(key.task));
      run.reserves_task = false;
    }
    this->RequeueTask(target, key, run, now, effects);
    run.is_orphan = true;
    run.has_lease_expired = true;
  }
}

void ServiceScheduler::MarkFenced(LeasedTarget& target, TimePoint now, SchedulerActions& effects) {
  target.phase = LeasedTarget::Phase::kFenced;
  effects.decisions.push_back({"target fenced",
                               {},
                               target.report.id,
                               target.fencing_token,
                               "another owner used a higher token"});
  this->AbandonRuns(target, target.lease_end, "another owner has the target", now, effects);
}

void ServiceScheduler::DropTarget(const TargetId& target, TimePoint gone_at, const char* reason,
                                  TimePoint now, SchedulerActions& effects) {
  auto found = this->targets.find(target);
  if (found == this->targets.end()) {
    return;
  }
  effects.decisions.push_back({"target dropped", {}, target, found->second.fencing_token, reason});
  this->AbandonRuns(found->second, gone_at, reason, now, effects);
  this->targets.erase(found);
}

void ServiceScheduler::PollIfDue(LeasedTarget& target, TimePoint now, SchedulerActions& effects) {
  const bool is_adopting = target.phase == LeasedTarget::Phase::kAdopting;
  const bool has_runs = !target.runs.empty() || target.unknown_run_count > 0;
  const base::SequenceNumber acknowledgeable =
      target.pending_acknowledgements.LastAcknowledgeableEnd(target.last_processed_end);
  const bool is_unacknowledged = target.last_acknowledged_end < acknowledgeable &&
                                 now - target.last_poll_sent_at >= kMaximumAcknowledgementDelay;
  if (target.phase == LeasedTarget::Phase::kFenced || now < target.next_poll_at ||
      !(is_adopting || has_runs || is_unacknowledged)) {
    return;
  }
  if (target.is_poll_pending) {
    if (now < target.poll_deadline) {
      return;
    }
    ++target.overdue_poll_count;
  }
  PollRequest order;
  order.target = {target.report.id, target.report.address, target.fencing_token};
  target.last_poll_sequence_number = target.last_poll_sequence_number.Next();
  order.sequence_number = target.last_poll_sequence_number;
  order.acknowledged_end = acknowledgeable;
  // A target that doesn't answer gets no longer lease, so that its tasks can be placed elsewhere.
  if (has_runs && !is_adopting && target.overdue_poll_count == 0 &&
      !target.pending_acknowledgements.IsAwaitingLeaseExpiry()) {
    order.maximum_wait = target.unknown_run_count > 0 ? Duration(0) : this->settings.poll_wait;
    const Duration lease = this->gateway_liveness.MaximumLeaseFor(target, now);
    if (lease > Duration(0)) {
      order.lease_end = target.ClockAt(now) + lease;
      target.ExtendLease(lease, now);
    }
    if (lease < this->settings.longest_lease / 2) {
      // A run is to end with the lease; what is started beside it would end too.
      target.ExtendBackoff(now + kBackoffBeforeLeaseEnd);
    }
  }
  target.is_poll_pending = true;
  target.last_poll_sent_at = now;
  target.poll_deadline =
      now + order.maximum_wait +
      kPollTimeout * (1 << std::min(target.overdue_poll_count, kMaximumTimeoutDoublings));
  effects.poll_requests.push_back(order);
}

void ServiceScheduler::EndBatch(std::map<BatchKey, PlacedBatch>::iterator found,
                                std::optional<BatchResult::Outcome> kind, const char* reason,
                                TimePoint now, SchedulerActions& effects) {
  PlacedBatch& placed = found->second;
  for (size_t i = 0; i < placed.tasks.size(); ++i) {
    auto target = this->targets.find(placed.tasks[i].target);
    if (target == this->targets.end()) {
      continue;
    }
    const RunKey key{placed.batch.tasks[i].key, placed.tasks[i].last_run_number};
    auto run = target->second.runs.find(key);
    if (run != target->second.runs.end()) {
      run->second.is_orphan = true;
      run->second.abandoned_at = now;
      this->StopRun(target->second, key, run->second, now, effects);
    }
  }
  this->batch_queue.erase({placed.batch.priority, placed.arrival_number});
  if (kind) {
    effects.batch_results.push_back({found->first, *kind, reason});
  }
  this->batches.erase(found);
}

void ServiceScheduler::ExpireBatches(TimePoint now, SchedulerActions& effects) {
  for (auto found = this->batches.begin(); found != this->batches.end();) {
    auto next = std::next(found);
    const PlacedBatch& placed = found->second;
    const Duration age = now - placed.arrived_at;
    if (placed.start_count == 0 && age >= placed.batch.wait_limit) {
      this->EndBatch(found, BatchResult::Outcome::kNotRun, "no room in time", now, effects);
    } else if (age >= placed.batch.time_left) {
      this->EndBatch(found, BatchResult::Outcome::kUnfinished, "the deadline has passed", now,
                     effects);
    }
    found = next;
  }
}

void ServiceScheduler::Tick(TimePoint now, SchedulerActions& effects) {
  this->ExpireBatches(now, effects);
  while (!this->reservation_expiries.empty() && this->reservation_expiries.begin()->first < now) {
    this->reserved_tasks.erase(
        this->reserved_tasks.find(this->reservation_expiries.begin()->second));
    this->reservation_expiries.erase(this->reservation_expiries.begin());
  }
  std::vector<TargetId> silent;
  for (auto& [id, target] : this->targets) {
    target.pending_acknowledgements.RemoveExpired(now);
    for (auto& [key, run] : target.runs) {
      if (run.phase == TargetRun::Phase::kStopping && !run.is_stop_pending &&
          !run.stop_confirmed_at && now >= run.next_stop_at) {
        this->StopRun(target, key, run, now, effects);
      }
    }
    if (!target.runs.empty() && now > target.lease_end) {
      this->OrphanRuns(target, now, effects);
    }
    this->PollIfDue(target, now, effects);
    if (now - target.last_heard_at >= this->settings.drop_target_after) {
      silent.push_back(id);
    }
  }
  for (const TargetId& id : silent) {
    this->DropTarget(id, TimePoint(), "the target is silent", now, effects);
  }
  this->StartQueuedTasks(now, effects);
}

CapacityReport::ServiceCapacity ServiceScheduler::Capacity(TimePoint now) const {
  CapacityReport::ServiceCapacity room;
  const int64_t need = std::max<int64_t>(1, static_cast<int64_t>(this->mean_required_processors));
  for (const auto& [id, target] : this->targets) {
    if (!this->CanStartRuns(target, now)) {
      continue;
    }
    room.free_task_capacity += base::TaskCount(target.FreeResources().processors.value() / need);
    room.total_task_capacity += base::TaskCount(target.report.capacity.processors.value() / need);
  }
  for (const auto& [key, part] : this->batch_queue) {
    room.waiting_task_count +=
        base::TaskCount(static_cast<int64_t>(this->batches.at(part).waiting_tasks.size()));
  }
  return room;
}

}  // namespace sapphirecrank::runs
