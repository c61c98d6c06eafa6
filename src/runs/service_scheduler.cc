#include "runs/service_scheduler.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "runs/unplaceable_sizes.h"
#include "runs/waiting_task_summary.h"
#include "targets/health_state.h"

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
// A poll is sent again if its response takes longer than the poll's maximum wait plus this timeout,
// which is several round trips between data centres. Doubled for each further poll, for targets
// that are slow.
constexpr Duration kPollTimeout = milliseconds(80);
constexpr int kMaximumTimeoutDoublings = 3;
constexpr Duration kPollRetryDelay = milliseconds(50);
// A finished run is acknowledged at the latest this long after the last poll, well within the
// platform's limit, which is on the order of seconds. A busy target is polled anyway and needs no
// extra poll for it.
constexpr Duration kMaximumAcknowledgementDelay = milliseconds(500);
// A target lists at most this many finished runs at once. If a list has that many, a run that isn't
// listed at all may have ended too.
constexpr size_t kMaximumListedEnds = 500;
constexpr double kMeanSmoothingFactor = 0.02;
// A run without progress for this long, or for this multiple of its expected run time if that is
// longer, has stalled. Progress comes in steps of 1 %, so that a run that takes 30 times as long as
// expected still makes a step in that time.
constexpr Duration kMinimumStallTime = milliseconds(150);
constexpr double kStallTimePerExpectedRunTime = 0.3;
// A task that stalls on several targets is slow by itself; it is then left to run.
constexpr int kMaximumStalledRuns = 2;
// A run that takes longer than this multiple of its expected run time is checked for progress more
// often than polls return by themselves.
constexpr int kOverdueRunTimeFactor = 3;
constexpr Duration kProgressCheckInterval = milliseconds(100);
// While the response to a start request is outstanding, polls return within the timeout of that
// request. If only its response is lost, the poll shows that the run is active.
constexpr Duration kStartCheckWait = milliseconds(40);

}  // namespace

ServiceScheduler::ServiceScheduler() : ServiceScheduler(SchedulerSettings()) {}

ServiceScheduler::ServiceScheduler(const SchedulerSettings& settings)
    : settings(settings), gateway_liveness(settings) {}

void ServiceScheduler::OnTargetReport(const TargetReport& report, base::FencingToken token,
                                      TimePoint now, SchedulerActions& actions) {
  auto found = this->targets.find(report.id);
  if (found != this->targets.end()) {
    LeasedTarget& known = found->second;
    if (report.incarnation < known.incarnation ||
        (report.incarnation == known.report.incarnation &&
         report.sequence_number <= known.report.sequence_number)) {
      return;
    }
    if (report.incarnation != known.incarnation) {
      this->OnRestart(known, report.incarnation, "the target reports a new incarnation", now,
                      actions);
    } else if (report.address != known.report.address) {
      BeginAdoption(known, "the target reports a new address", now, actions);
    }
  }
  if (report.has_left) {
    if (found != this->targets.end()) {
      found->second.report.is_draining = true;
      found->second.report.incarnation = report.incarnation;
      found->second.report.sequence_number = report.sequence_number;
    }
    return;
  }
  if (found == this->targets.end()) {
    found = this->targets.try_emplace(report.id).first;
    found->second.incarnation = report.incarnation;
    found->second.fencing_token = token;
    actions.decisions.push_back(
        {"target adopted", {}, report.id, token, "first report of the target"});
  }
  LeasedTarget& target = found->second;
  if (report.is_draining && !target.report.is_draining) {
    actions.decisions.push_back(
        {"target draining", {}, report.id, token, "the target reports that it is draining"});
  }
  target.report = report;
  target.is_evacuated = this->start_permission.IsEvacuated(report.data_centre);
  target.cold_until = now + report.cold_time_left;
  target.clock_read_at = now;
  target.last_heard_at = now;
  this->target_health.AddTarget(report.id);
  target.health = this->target_health.StateOf(report.id);
  this->PollIfDue(target, now, actions);
  this->StartQueuedTasks(now, actions);
}

void ServiceScheduler::ReleaseUnownedTargets(const IsTargetOwned& is_owned, TimePoint now,
                                             SchedulerActions& actions) {
  for (auto found = this->targets.begin(); found != this->targets.end();) {
    auto next = std::next(found);
    if (!is_owned(found->second.report)) {
      this->DropTarget(TargetId(found->first), found->second.lease_end,
                       "another host owns the target", now, actions);
    }
    found = next;
  }
  this->StartQueuedTasks(now, actions);
}

void ServiceScheduler::SetFencingToken(base::FencingToken token, bool was_owner, TimePoint now,
                                       SchedulerActions& actions) {
  for (auto& [id, target] : this->targets) {
    if (token <= target.fencing_token) {
      continue;
    }
    target.fencing_token = token;
    if (was_owner && target.phase != LeasedTarget::Phase::kFenced) {
      continue;
    }
    for (auto& [key, run] : target.runs) {
      run.had_other_owner = true;
    }
    BeginAdoption(target, "new fencing token; another host may have owned the target", now,
                  actions);
    this->PollIfDue(target, now, actions);
  }
}

void ServiceScheduler::PlaceBatch(TaskBatch batch, TimePoint now, SchedulerActions& actions) {
  // A resubmission through another gateway replaces the batches that the first one placed.
  for (auto other = this->batches.lower_bound({base::HostId(), batch.key.job, base::BatchNumber()});
       other != this->batches.end() && other->first.job == batch.key.job;) {
    auto next = std::next(other);
    if (other->first.gateway != batch.key.gateway || other->first.batch == batch.key.batch) {
      this->EndBatch(other, BatchResult::Outcome::kUnfinished, "the job was submitted again", now,
                     actions);
    }
    other = next;
  }
  const BatchKey key = batch.key;
  PlacedBatch& placed = this->batches[key];
  placed.payload = std::make_shared<const std::string>(std::move(batch.payload));
  placed.tasks.resize(batch.tasks.size());
  for (PlacedBatch::TaskState& task : placed.tasks) {
    task.last_run_number = base::RunNumber(batch.first_run_number.value() - 1);
  }
  placed.unfinished_task_count = batch.tasks.size();
  placed.arrived_at = now;
  placed.arrival_number = this->next_arrival_number++;
  const bool fits_some_target =
      !batch.tasks.empty() && this->HasUsableTarget(PlacementRule(), batch.tasks.front(), now);
  for (const BatchTask& task : batch.tasks) {
    if (!fits_some_target) {
      break;  // The size of tasks that can't start says nothing about the capacity.
    }
    const auto required_processors =
        static_cast<double>(task.required_resources.processors.value());
    this->mean_required_processors +=
        this->mean_required_processors == 0
            ? required_processors
            : kMeanSmoothingFactor * (required_processors - this->mean_required_processors);
  }
  placed.batch = std::move(batch);
  for (size_t i = placed.tasks.size(); i > 0; --i) {
    this->EnqueueTask(placed, i - 1, now);
  }
  this->StartQueuedTasks(now, actions);
  auto found = this->batches.find(key);
  if (found != this->batches.end() && this->start_permission.IsRestrictedAt(now)) {
    this->ReturnTasksWithoutTarget(found, now, actions);
  }
}

void ServiceScheduler::CancelJob(const base::HostId& gateway, const base::SubmissionId& job,
                                 TimePoint now, SchedulerActions& actions) {
  for (auto found = this->batches.lower_bound({gateway, job, base::BatchNumber()});
       found != this->batches.end() && found->first.job == job &&
       found->first.gateway == gateway;) {
    auto next = std::next(found);
    this->EndBatch(found, std::nullopt, "cancelled by its gateway", now, actions);
    found = next;
  }
  this->StartQueuedTasks(now, actions);
}

void ServiceScheduler::CancelJobsOfGateway(const base::HostId& gateway, TimePoint now,
                                           SchedulerActions& actions) {
  for (auto found = this->batches.begin(); found != this->batches.end();) {
    auto next = std::next(found);
    if (found->first.gateway == gateway) {
      this->EndBatch(found, std::nullopt, "the gateway was lost", now, actions);
    }
    found = next;
  }
  this->StartQueuedTasks(now, actions);
}

void ServiceScheduler::OnGatewayAlive(const base::HostId& gateway, TimePoint alive_at,
                                      TimePoint now, SchedulerActions& actions) {
  const bool was_alive = this->gateway_liveness.IsAlive(gateway, now);
  this->gateway_liveness.RecordAlive(gateway, alive_at);
  if (!was_alive) {
    this->StartQueuedTasks(now, actions);
  }
}

void ServiceScheduler::SetStartPermission(const StartPermission& permission, TimePoint now,
                                          SchedulerActions& actions) {
  const bool is_unchanged =
      permission.AllowsStartsAt(now) == this->start_permission.AllowsStartsAt(now) &&
      permission.evacuated_data_centres() == this->start_permission.evacuated_data_centres();
  this->start_permission = permission;
  if (is_unchanged) {
    return;  // The limit is extended several times per second.
  }
  for (auto& [id, target] : this->targets) {
    target.is_evacuated = permission.IsEvacuated(target.report.data_centre);
  }
  this->StartQueuedTasks(now, actions);
  for (auto found = this->batches.begin(); found != this->batches.end();) {
    auto next = std::next(found);
    this->ReturnTasksWithoutTarget(found, now, actions);
    found = next;
  }
}

void ServiceScheduler::RecallBatch(const BatchKey& key, TimePoint now, SchedulerActions& actions) {
  auto found = this->batches.find(key);
  if (found == this->batches.end() || !found->second.batch.can_be_returned) {
    return;
  }
  const ReturnableTasks returnable(found->second, this->reserved_tasks, now);
  if (!returnable.positions().empty()) {
    this->GiveBackTasks(found, returnable, true, "recalled by the gateway", now, actions);
    this->StartQueuedTasks(now, actions);
  }
}

bool ServiceScheduler::CanStartRuns(const LeasedTarget& target, TimePoint now) const {
  if (target.is_evacuated || !this->start_permission.AllowsStartsAt(now)) {
    return false;
  }
  if (target.health == targets::HealthState::kEjected ||
      (target.health == targets::HealthState::kProbation && !target.runs.empty())) {
    return false;
  }
  return target.phase == LeasedTarget::Phase::kInUse && !target.report.is_draining &&
         target.report.incarnation == target.incarnation &&
         !target.pending_acknowledgements.IsAwaitingLeaseExpiry() &&
         target.unknown_run_count == 0 && now >= target.backoff_until &&
         now - target.last_heard_at < this->settings.target_silence_limit;
}

LeasedTarget* ServiceScheduler::ChooseTarget(const PlacedBatch& placed, size_t task_position,
                                             TimePoint now) {
  const BatchTask& task = placed.batch.tasks[task_position];
  const std::set<TargetId>& failed_targets = placed.tasks[task_position].failed_targets;
  // Best fit keeps whole targets free for tasks that require many resources.
  LeasedTarget* best = nullptr;
  std::tuple<bool, bool, base::MilliCores> best_rank;
  for (auto& [id, target] : this->targets) {
    const Resources free = target.FreeResources();
    if (!free.CanFit(task.required_resources) || !this->CanStartRuns(target, now) ||
        this->capacity_reserver.IsReservedForEarlierBatch(id, placed.Position())) {
      continue;
    }
    const auto rank =
        std::make_tuple(failed_targets.count(id) > 0, target.IsCold(now), free.processors);
    if ((best == nullptr || rank < best_rank) &&
        target.SatisfiesPlacementRule(placed.batch.placement_rule, task.key)) {
      best = &target;
      best_rank = rank;
    }
  }
  return best;
}

void ServiceScheduler::StartQueuedTasks(TimePoint now, SchedulerActions& actions) {
  this->EndReservationIfDue(now, actions);
  UnplaceableSizes unplaceable_sizes;
  for (auto next = this->batch_queue.begin(); next != this->batch_queue.end();) {
    const QueuedBatch& queued = next->second;
    if (unplaceable_sizes.Includes(queued.required_resources)) {
      ++next;
      continue;
    }
    PlacedBatch& placed = this->batches.at(queued.key);
    if (!this->gateway_liveness.IsAlive(placed.batch.key.gateway, now)) {
      ++next;
      continue;
    }
    const bool has_found_targets = this->StartBatchTasks(placed, now, actions);
    if (!has_found_targets && !placed.batch.placement_rule.HasConstraints()) {
      unplaceable_sizes.Add(queued.required_resources);
      this->ReserveTargets(placed, now);
    }
    if (!placed.waiting_tasks.empty()) {
      ++next;
      continue;
    }
    next = this->batch_queue.erase(next);
    this->EndReservationIfDue(now, actions);
  }
}

void ServiceScheduler::ReserveTargets(const PlacedBatch& placed, TimePoint now) {
  if (this->capacity_reserver.MayReserveFor(placed, now)) {
    this->capacity_reserver.Reserve(placed, this->UsableTargets(now), this->batches, now);
  }
}

std::vector<const LeasedTarget*> ServiceScheduler::UsableTargets(TimePoint now) const {
  std::vector<const LeasedTarget*> usable_targets;
  for (const auto& [id, target] : this->targets) {
    if (this->CanStartRuns(target, now)) {
      usable_targets.push_back(&target);
    }
  }
  return usable_targets;
}

void ServiceScheduler::EndReservationIfDue(TimePoint now, SchedulerActions& actions) {
  const auto& reservation = this->capacity_reserver.reservation();
  if (!reservation) {
    return;
  }
  auto found = this->batches.find(reservation->batch);
  const bool is_useful =
      found != this->batches.end() && !found->second.waiting_tasks.empty() &&
      this->gateway_liveness.IsAlive(found->first.gateway, now) &&
      std::any_of(reservation->targets.begin(), reservation->targets.end(),
                  [this, now](const TargetId& id) {
                    auto target = this->targets.find(id);
                    return target != this->targets.end() && this->CanStartRuns(target->second, now);
                  });
  if (!is_useful) {
    this->capacity_reserver.End();
    return;
  }
  PlacedBatch& placed = found->second;
  const size_t target_count = this->capacity_reserver.EndIfOverdue(placed, now);
  if (target_count > 0) {
    const RunKey key{placed.batch.tasks[placed.waiting_tasks.back()].key, base::RunNumber()};
    actions.decisions.push_back(
        {"reservation ended",
         key,
         {},
         {},
         std::to_string(target_count) +
             " targets didn't become free for the task within the time limit"});
  }
}

bool ServiceScheduler::StartBatchTasks(PlacedBatch& placed, TimePoint now,
                                       SchedulerActions& actions) {
  std::vector<size_t> reserved_positions;
  bool has_target = true;
  while (has_target && !placed.waiting_tasks.empty()) {
    const size_t task_position = placed.waiting_tasks.back();
    const BatchTask& batch_task = placed.batch.tasks[task_position];
    if (this->reserved_tasks.count(batch_task.key) > 0) {
      reserved_positions.push_back(task_position);
      placed.waiting_tasks.pop_back();
      continue;
    }
    LeasedTarget* target = this->ChooseTarget(placed, task_position, now);
    has_target = target != nullptr;
    if (has_target) {
      placed.waiting_tasks.pop_back();
      this->StartTask(placed, task_position, *target, now, actions);
    }
  }
  placed.waiting_tasks.insert(placed.waiting_tasks.end(), reserved_positions.begin(),
                              reserved_positions.end());
  return has_target;
}

void ServiceScheduler::StartTask(PlacedBatch& placed, size_t task_position, LeasedTarget& target,
                                 TimePoint now, SchedulerActions& actions) {
  PlacedBatch::TaskState& state = placed.tasks[task_position];
  const BatchTask& batch_task = placed.batch.tasks[task_position];
  state.last_run_number = state.last_run_number.Next();
  state.target = target.report.id;
  ++state.start_count;
  ++placed.start_count;
  const RunKey key{batch_task.key, state.last_run_number};
  TargetRun run;
  run.batch = placed.batch.key;
  run.task_position = task_position;
  run.required_resources = batch_task.required_resources;
  run.is_stored = placed.batch.is_stored;
  run.start_requested_at = now;
  target.used_resources += batch_task.required_resources;
  target.runs.emplace(key, std::move(run));
  this->reserved_tasks.insert(key.task);
  StartRequest request;
  request.target = target.Endpoint();
  request.key = key;
  request.payload = placed.payload;
  const Duration lease = this->gateway_liveness.MaximumLeaseFor(target, now);
  request.lease_end = target.ClockAt(now) + lease;
  target.ExtendLease(lease, now);
  actions.start_requests.push_back(std::move(request));
}

void ServiceScheduler::EnqueueTask(PlacedBatch& placed, size_t task_position, TimePoint now) {
  placed.tasks[task_position].target = TargetId();
  placed.tasks[task_position].queued_at = now;
  placed.waiting_tasks.push_back(task_position);
  this->batch_queue.emplace(
      placed.Position(),
      QueuedBatch{placed.batch.key, placed.batch.tasks[task_position].required_resources});
}

void ServiceScheduler::StopRun(LeasedTarget& target, const RunKey& key, TargetRun& run,
                               TimePoint now, SchedulerActions& actions) {
  run.phase = TargetRun::Phase::kStopping;
  if (run.is_stop_pending || run.stop_confirmed_at ||
      target.phase == LeasedTarget::Phase::kFenced) {
    return;
  }
  run.is_stop_pending = true;
  run.next_stop_at = now + kStopRetryDelay;
  actions.stop_requests.push_back({target.Endpoint(), key});
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
                                   const TargetRun& run, TimePoint now, SchedulerActions& actions) {
  auto found = this->batches.find(run.batch);
  if (run.is_orphan || found == this->batches.end()) {
    return;
  }
  PlacedBatch& placed = found->second;
  if (placed.tasks[run.task_position].last_run_number != key.run) {
    return;
  }
  const TaskBatch& batch = placed.batch;
  if (batch.is_stored &&
      key.run.value() + 1 >= batch.first_run_number.value() + TaskBatch::kMaximumRunsPerTask) {
    this->ReturnTask(target, key, run, true, now, actions);
  } else {
    this->EnqueueTask(placed, run.task_position, now);
  }
}

void ServiceScheduler::ReturnTask(const LeasedTarget& target, const RunKey& key,
                                  const TargetRun& run, bool is_run_gone, TimePoint now,
                                  SchedulerActions& actions) {
  auto found = this->batches.find(run.batch);
  if (run.is_orphan || found == this->batches.end()) {
    return;
  }
  PlacedBatch::TaskState& task = found->second.tasks[run.task_position];
  if (task.last_run_number != key.run) {
    return;
  }
  task.is_returned = true;
  // The end of the batch must not stop a run on a target whose lease has ended.
  task.target = TargetId();
  AddRunEvent(target, key, RunEvent::Kind::kReturned, base::SequenceNumber(), actions);
  actions.run_events.back().is_run_gone = is_run_gone;
  actions.decisions.push_back({"task returned", key, target.report.id, target.fencing_token,
                               is_run_gone
                                   ? "the run is gone; the leader places the task again"
                                   : "another owner of the target may find the run active"});
  this->FinishTask(found, now, actions);
}

void ServiceScheduler::ReturnOrRequeueTask(const LeasedTarget& target, const RunKey& key,
                                           const TargetRun& run, bool is_run_gone, TimePoint now,
                                           SchedulerActions& actions) {
  if (run.is_stored) {
    this->ReturnTask(target, key, run, is_run_gone, now, actions);
  } else {
    this->RequeueTask(target, key, run, now, actions);
  }
}

void ServiceScheduler::FinishTask(std::map<BatchKey, PlacedBatch>::iterator batch_iterator,
                                  TimePoint now, SchedulerActions& actions) {
  PlacedBatch& placed = batch_iterator->second;
  --placed.unfinished_task_count;
  if (placed.unfinished_task_count > 0) {
    return;
  }
  // The gateway knows which tasks it has got back; the result is about the others.
  const bool is_done = std::all_of(
      placed.tasks.begin(), placed.tasks.end(), [&placed](const PlacedBatch::TaskState& task) {
        return task.is_done || (task.is_returned && placed.batch.can_be_returned);
      });
  if (is_done) {
    this->EndBatch(batch_iterator, BatchResult::Outcome::kCompleted, "all tasks are done", now,
                   actions);
  } else {
    this->EndBatch(batch_iterator, BatchResult::Outcome::kUnfinished, "tasks were returned", now,
                   actions);
  }
}

void ServiceScheduler::AddRunEvent(const LeasedTarget& target, const RunKey& key,
                                   RunEvent::Kind kind, base::SequenceNumber end_sequence_number,
                                   SchedulerActions& actions) {
  actions.run_events.push_back({target.report.service, target.report.id, target.incarnation,
                                end_sequence_number, key, kind});
}

void ServiceScheduler::AddRunEndEvent(LeasedTarget& target, const FinishedRun& finished_run,
                                      SchedulerActions& actions) {
  if (finished_run.outcome == FinishedRun::Outcome::kSucceeded ||
      finished_run.outcome == FinishedRun::Outcome::kFailed) {
    target.pending_acknowledgements.Add(finished_run.sequence_number);
    AddRunEvent(target, finished_run.key,
                finished_run.outcome == FinishedRun::Outcome::kSucceeded
                    ? RunEvent::Kind::kSucceeded
                    : RunEvent::Kind::kFailed,
                finished_run.sequence_number, actions);
  }
}

void ServiceScheduler::OnEventAcknowledgement(const RunEvent& event, bool is_superseded,
                                              TimePoint now, SchedulerActions& actions) {
  auto found = this->targets.find(event.target);
  if (found == this->targets.end() || found->second.incarnation != event.target_incarnation) {
    return;
  }
  LeasedTarget& target = found->second;
  if (!is_superseded) {
    target.pending_acknowledgements.MarkDurable(event.end_sequence_number);
    return;
  }
  // An earlier owner may have extended the lease just before this host took over the target.
  LeasedTarget target_with_longest_lease = target;
  target_with_longest_lease.ExtendLease(this->settings.maximum_lease, now);
  target.pending_acknowledgements.ExpireWithLease(event.end_sequence_number,
                                                  target_with_longest_lease.lease_end);
  actions.decisions.push_back({"lease left to end", event.key, target.report.id,
                               target.fencing_token,
                               "the run ended after its task had been placed again"});
}

void ServiceScheduler::OnStartResponse(const StartRequest& request,
                                       const TargetCallResponse& response, TimePoint now,
                                       SchedulerActions& actions) {
  auto found = this->targets.find(request.target.id);
  if (found == this->targets.end() || found->second.runs.count(request.key) == 0) {
    return;
  }
  LeasedTarget& target = found->second;
  TargetRun& run = target.runs.at(request.key);
  const bool is_current = target.IsCurrent(request.target);
  const bool was_restarted =
      response.target_clock && is_current &&
      *response.target_clock < target.MinimumClockAfter(run.start_requested_at);
  if (response.target_clock && is_current) {
    target.report.clock = *response.target_clock;
    target.clock_read_at = now;
    if (was_restarted) {
      // The response doesn't contain the incarnation; the list of runs does.
      this->OnRestart(target, target.incarnation, "the target's clock has been reset", now,
                      actions);
    }
  }
  if (response.status != TargetCallStatus::kAccepted) {
    actions.decisions.push_back({"start not accepted", request.key, request.target.id,
                                 request.target.fencing_token,
                                 std::string(TargetCallStatusName(response.status))});
  }
  if (response.status != TargetCallStatus::kNotSent) {
    target.RecordCallResult(response.status != TargetCallStatus::kNoResponse,
                            now + kBackoffAfterFailure);
  }
  switch (response.status) {
    case TargetCallStatus::kAccepted:
      run.start_confirmed_at = now;
      run.is_on_known_incarnation =
          run.is_on_known_incarnation || (is_current && response.target_clock && !was_restarted);
      if (run.is_stored) {
        AddRunEvent(target, request.key, RunEvent::Kind::kStarted, base::SequenceNumber(), actions);
      }
      if (run.phase == TargetRun::Phase::kStarting) {
        run.phase = TargetRun::Phase::kRunning;
      }
      this->PollIfDue(target, now, actions);
      return;
    case TargetCallStatus::kNoResponse:
      if (run.phase == TargetRun::Phase::kRunning) {
        // Only the response was lost: the target has listed the run as active.
        run.start_confirmed_at = now;
      } else {
        this->StopRun(target, request.key, run, now, actions);
      }
      return;
    case TargetCallStatus::kFenced:
      if (request.target.fencing_token == target.fencing_token && is_current) {
        this->MarkFenced(target, now, actions);
      } else {
        // A request with this host's own later token reached the target first, or the target has
        // been restarted since. The target has not carried out this request.
        this->RequeueTask(target, request.key, this->RemoveRun(target, request.key), now, actions);
      }
      break;
    case TargetCallStatus::kIncarnationMismatch:
      if (is_current) {
        this->DropTarget(request.target.id, TimePoint(), "the address belongs to another target",
                         now, actions);
      } else {
        this->RequeueTask(target, request.key, this->RemoveRun(target, request.key), now, actions);
      }
      break;
    case TargetCallStatus::kInvalidRequest: {
      const TargetRun removed_run = this->RemoveRun(target, request.key);
      this->RecordRunFailure(target, request.key, removed_run, now, actions);
      break;
    }
    case TargetCallStatus::kStaleRunNumber:
    case TargetCallStatus::kLeaseExpired:
    case TargetCallStatus::kInsufficientCapacity:
    case TargetCallStatus::kUnhealthy:
    case TargetCallStatus::kNotSent: {
      if (response.status != TargetCallStatus::kStaleRunNumber &&
          response.status != TargetCallStatus::kLeaseExpired) {
        target.backoff_until =
            now + (response.status == TargetCallStatus::kUnhealthy ? kBackoffWhenUnhealthy
                                                                   : kBackoffAfterFailure);
      }
      const TargetRun removed_run = this->RemoveRun(target, request.key);
      auto batch = this->batches.find(removed_run.batch);
      if (batch != this->batches.end()) {
        --batch->second.start_count;
        if (!removed_run.is_orphan) {
          --batch->second.tasks[removed_run.task_position].start_count;
        }
      }
      this->RequeueTask(target, request.key, removed_run, now, actions);
      break;
    }
  }
  this->StartQueuedTasks(now, actions);
}

void ServiceScheduler::OnStopResponse(const StopRequest& request,
                                      const TargetCallResponse& response, TimePoint now,
                                      SchedulerActions& actions) {
  auto found = this->targets.find(request.target.id);
  if (found == this->targets.end()) {
    return;
  }
  LeasedTarget& target = found->second;
  const bool is_current = target.IsCurrent(request.target);
  if (response.status == TargetCallStatus::kFenced && is_current &&
      request.target.fencing_token == target.fencing_token) {
    this->MarkFenced(target, now, actions);
    this->StartQueuedTasks(now, actions);
    return;
  }
  if (response.status == TargetCallStatus::kIncarnationMismatch && is_current) {
    this->DropTarget(request.target.id, TimePoint(), "the address belongs to another target", now,
                     actions);
    this->StartQueuedTasks(now, actions);
    return;
  }
  auto run = target.runs.find(request.key);
  if (run == target.runs.end()) {
    return;
  }
  run->second.is_stop_pending = false;
  target.RecordCallResult(response.status != TargetCallStatus::kNoResponse,
                          now + kBackoffAfterFailure);
  // A stop that an earlier incarnation carried out doesn't keep a delayed start from running on the
  // present one. `Tick` sends it again.
  if (response.status == TargetCallStatus::kAccepted && is_current) {
    run->second.stop_confirmed_at = now;
    target.next_poll_at = now;
  }
  this->PollIfDue(target, now, actions);
}

void ServiceScheduler::OnPollResponse(const PollRequest& request, const PollResponse& response,
                                      TimePoint now, SchedulerActions& actions) {
  auto found = this->targets.find(request.target.id);
  // The response to a poll from before an adoption doesn't show what an owner in between has done.
  if (found == this->targets.end() || !found->second.is_poll_pending ||
      request.sequence_number != found->second.last_poll_sequence_number) {
    return;
  }
  LeasedTarget& target = found->second;
  const TimePoint sent_at = target.last_poll_sent_at;
  target.is_poll_pending = false;
  if (response.status == TargetCallStatus::kIncarnationMismatch) {
    this->DropTarget(request.target.id, TimePoint(), "the address belongs to another target", now,
                     actions);
  } else if (response.status == TargetCallStatus::kAccepted &&
             response.run_list.incarnation != target.incarnation) {
    target.report.clock = response.run_list.clock;
    target.clock_read_at = now;
    target.last_heard_at = now;
    this->OnRestart(target, response.run_list.incarnation, "a list of runs has a new incarnation",
                    now, actions);
    this->PollIfDue(target, now, actions);
  } else if (response.status == TargetCallStatus::kAccepted) {
    target.report.clock = response.run_list.clock;
    target.clock_read_at = now;
    target.last_heard_at = now;
    target.RecordCallResult(true, now + kBackoffAfterFailure);
    target.overdue_poll_count = 0;
    target.last_acknowledged_end =
        std::max(target.last_acknowledged_end, request.acknowledged_up_to);
    this->ReconcileRuns(target, response.run_list, sent_at, now, actions);
  } else if (response.status == TargetCallStatus::kFenced &&
             request.target.fencing_token == target.fencing_token) {
    this->MarkFenced(target, now, actions);
  } else {
    actions.decisions.push_back({"look failed",
                                 {},
                                 request.target.id,
                                 request.target.fencing_token,
                                 std::string(TargetCallStatusName(response.status))});
    target.RecordCallResult(false, now + kBackoffAfterFailure);
    ++target.overdue_poll_count;
    target.next_poll_at = now + kPollRetryDelay;
    this->PollIfDue(target, now, actions);
  }
  this->StartQueuedTasks(now, actions);
}

void ServiceScheduler::ReconcileRuns(LeasedTarget& target, const TargetRunList& run_list,
                                     TimePoint sent_at, TimePoint now, SchedulerActions& actions) {
  for (const FinishedRun& finished_run : run_list.finished_runs) {
    if (finished_run.sequence_number > target.last_processed_end) {
      target.last_processed_end = finished_run.sequence_number;
      this->OnRunEnd(target, finished_run, now, actions);
    }
  }
  std::set<RunKey> listed_runs;
  target.unknown_run_count = 0;
  for (const ActiveRun& active : run_list.active_runs) {
    listed_runs.insert(active.key);
    auto run = target.runs.find(active.key);
    if (run == target.runs.end()) {
      ++target.unknown_run_count;
      actions.decisions.push_back({"unknown run stopped", active.key, target.report.id,
                                   target.fencing_token, "this host has no record of the run"});
      actions.stop_requests.push_back({target.Endpoint(), active.key});
    } else {
      run->second.is_on_known_incarnation = true;
      if (run->second.phase == TargetRun::Phase::kStarting) {
        run->second.phase = TargetRun::Phase::kRunning;
      }
      this->CheckProgress(target, active, run->second, now, actions);
    }
  }
  std::vector<RunKey> missing_runs;
  for (const auto& [key, run] : target.runs) {
    const bool was_started = run.start_confirmed_at && *run.start_confirmed_at < sent_at;
    const bool was_stopped = run.stop_confirmed_at && *run.stop_confirmed_at < sent_at;
    if ((was_started || was_stopped) && listed_runs.count(key) == 0 &&
        run_list.finished_runs.size() < kMaximumListedEnds) {
      missing_runs.push_back(key);
    }
  }
  for (const RunKey& key : missing_runs) {
    actions.decisions.push_back({"run lost", key, target.report.id, target.fencing_token,
                                 "the target doesn't list the run"});
    const TargetRun run = this->RemoveRun(target, key);
    if (run.had_other_owner) {
      this->ReturnOrRequeueTask(target, key, run, true, now, actions);
    } else {
      this->RequeueTask(target, key, run, now, actions);
    }
  }
  if (target.phase == LeasedTarget::Phase::kAdopting && target.unknown_run_count == 0) {
    target.phase = LeasedTarget::Phase::kInUse;
    actions.decisions.push_back({"target in use",
                                 {},
                                 target.report.id,
                                 target.fencing_token,
                                 "the target lists no unknown runs"});
  }
  if (target.phase == LeasedTarget::Phase::kAdopting || target.unknown_run_count > 0) {
    target.next_poll_at = now + kPollRetryDelay;
  }
  this->PollIfDue(target, now, actions);
}

void ServiceScheduler::RecordTargetHealth(LeasedTarget& target, bool succeeded, TimePoint now,
                                          SchedulerActions& actions) {
  const TargetId& id = target.report.id;
  const targets::HealthState before = target.health;
  const targets::HealthState after = this->target_health.OnTaskOutcome(id, succeeded, now);
  target.health = after;
  if (after == before) {
    return;
  }
  if (after == targets::HealthState::kEjected) {
    actions.decisions.push_back({"target ejected",
                                 {},
                                 id,
                                 target.fencing_token,
                                 "its last runs have all failed or stalled"});
  } else if (after == targets::HealthState::kHealthy) {
    actions.decisions.push_back(
        {"target healthy again", {}, id, target.fencing_token, "its trial runs have succeeded"});
  }
}

void ServiceScheduler::CheckProgress(LeasedTarget& target, const ActiveRun& active, TargetRun& run,
                                     TimePoint now, SchedulerActions& actions) {
  if (run.progress_percent != active.progress_percent) {
    run.progress_percent = active.progress_percent;
    run.progressed_at = now;
    return;
  }
  auto found = this->batches.find(run.batch);
  if (run.is_orphan || run.phase != TargetRun::Phase::kRunning || found == this->batches.end() ||
      found->second.batch.expected_run_time <= Duration(0)) {
    return;
  }
  PlacedBatch::TaskState& task = found->second.tasks[run.task_position];
  const Duration stall_time = std::max(
      kMinimumStallTime, std::chrono::duration_cast<Duration>(
                             found->second.batch.expected_run_time * kStallTimePerExpectedRunTime));
  if (now - run.progressed_at < stall_time || task.stalled_run_count >= kMaximumStalledRuns) {
    return;
  }
  ++task.stalled_run_count;
  task.failed_targets.insert(target.report.id);
  actions.decisions.push_back({"stalled run stopped", active.key, target.report.id,
                               target.fencing_token, "the run has made no progress"});
  this->RecordTargetHealth(target, false, now, actions);
  this->StopRun(target, active.key, run, now, actions);
}

Duration ServiceScheduler::PollWait(const LeasedTarget& target, TimePoint now) const {
  if (target.unknown_run_count > 0) {
    return Duration(0);
  }
  Duration wait = this->settings.poll_wait;
  for (const auto& [key, run] : target.runs) {
    if (run.phase == TargetRun::Phase::kStarting) {
      wait = std::min(wait, kStartCheckWait);
    }
    auto found = this->batches.find(run.batch);
    if (found == this->batches.end() || found->second.batch.expected_run_time <= Duration(0)) {
      continue;
    }
    const Duration until_overdue = kOverdueRunTimeFactor * found->second.batch.expected_run_time -
                                   (now - run.start_requested_at);
    wait = std::min(wait, std::max(kProgressCheckInterval, until_overdue));
  }
  return wait;
}

void ServiceScheduler::OnRunEnd(LeasedTarget& target, const FinishedRun& finished_run,
                                TimePoint now, SchedulerActions& actions) {
  if (target.runs.count(finished_run.key) == 0) {
    // A run that an earlier owner started may belong to a stored job.
    AddRunEndEvent(target, finished_run, actions);
    return;
  }
  const TargetRun run = this->RemoveRun(target, finished_run.key);
  this->task_end_rate.RecordEnd(now);
  if (run.is_stored && !run.has_lease_expired) {
    AddRunEndEvent(target, finished_run, actions);
  }
  auto found = this->batches.find(run.batch);
  if (run.is_orphan || found == this->batches.end()) {
    return;
  }
  PlacedBatch& placed = found->second;
  if (finished_run.outcome == FinishedRun::Outcome::kSucceeded) {
    this->RecordTargetHealth(target, true, now, actions);
    placed.tasks[run.task_position].is_done = true;
    this->FinishTask(found, now, actions);
  } else if (finished_run.outcome == FinishedRun::Outcome::kFailed) {
    actions.decisions.push_back({"run failed", finished_run.key, target.report.id,
                                 target.fencing_token, "the target lists the run as failed"});
    this->RecordTargetHealth(target, false, now, actions);
    placed.tasks[run.task_position].failed_targets.insert(target.report.id);
    this->RecordRunFailure(target, finished_run.key, run, now, actions);
  } else {
    actions.decisions.push_back({"run ended early", finished_run.key, target.report.id,
                                 target.fencing_token,
                                 "the target lists the run as ended without a result"});
    this->RequeueTask(target, finished_run.key, run, now, actions);
  }
}

void ServiceScheduler::RecordRunFailure(const LeasedTarget& target, const RunKey& key,
                                        const TargetRun& run, TimePoint now,
                                        SchedulerActions& actions) {
  auto found = this->batches.find(run.batch);
  if (run.is_orphan || found == this->batches.end()) {
    return;
  }
  PlacedBatch& placed = found->second;
  PlacedBatch::TaskState& task = placed.tasks[run.task_position];
  if (placed.batch.is_stored) {
    // The stored job manager counts the failures of stored jobs. Run events report to it those that
    // targets list.
    // FIXME: An invalid start request adds no run event, so the manager doesn't count this failure.
    task.is_returned = true;
    this->FinishTask(found, now, actions);
    return;
  }
  task.failed_run_count = task.failed_run_count.Next();
  if (task.failed_run_count >= placed.batch.maximum_attempts) {
    this->EndBatch(found, BatchResult::Outcome::kFailed,
                   "a task has reached its maximum number of failed runs", now, actions);
  } else {
    this->RequeueTask(target, key, run, now, actions);
  }
}

void ServiceScheduler::AbandonRuns(LeasedTarget& target, TimePoint may_run_until,
                                   const char* reason, TimePoint now, SchedulerActions& actions) {
  while (!target.runs.empty()) {
    const RunKey key = target.runs.begin()->first;
    if (target.runs.begin()->second.reserves_task && may_run_until != TimePoint()) {
      this->reserved_tasks.insert(key.task);
      this->reservation_expiries.emplace(may_run_until, key.task);
    }
    actions.decisions.push_back({"run lost", key, target.report.id, target.fencing_token, reason});
    const TargetRun run = this->RemoveRun(target, key);
    this->ReturnOrRequeueTask(target, key, run, may_run_until == TimePoint(), now, actions);
  }
}

void ServiceScheduler::OrphanRuns(LeasedTarget& target, TimePoint now, SchedulerActions& actions) {
  target.ExtendBackoff(now + kBackoffAfterFailure);
  for (auto& [key, run] : target.runs) {
    if (run.is_orphan) {
      continue;
    }
    actions.decisions.push_back({"run given up", key, target.report.id, target.fencing_token,
                                 "the target's lease has ended"});
    if (run.reserves_task) {
      this->reserved_tasks.erase(this->reserved_tasks.find(key.task));
      run.reserves_task = false;
    }
    // The run may have ended with a result before its lease did.
    this->ReturnOrRequeueTask(target, key, run, true, now, actions);
    run.is_orphan = true;
    run.has_lease_expired = true;
  }
}

void ServiceScheduler::MarkFenced(LeasedTarget& target, TimePoint now, SchedulerActions& actions) {
  target.phase = LeasedTarget::Phase::kFenced;
  actions.decisions.push_back({"target fenced",
                               {},
                               target.report.id,
                               target.fencing_token,
                               "another owner has used a higher fencing token"});
  this->AbandonRuns(target, target.lease_end, "another owner has taken over the target", now,
                    actions);
}

void ServiceScheduler::BeginAdoption(LeasedTarget& target, std::string reason, TimePoint now,
                                     SchedulerActions& actions) {
  target.phase = LeasedTarget::Phase::kAdopting;
  target.is_poll_pending = false;
  target.next_poll_at = now;
  actions.decisions.push_back(
      {"target adopted", {}, target.report.id, target.fencing_token, std::move(reason)});
}

void ServiceScheduler::OnRestart(LeasedTarget& target, base::Incarnation incarnation,
                                 const char* evidence, TimePoint now, SchedulerActions& actions) {
  std::string reason = std::string(evidence) + ": " + std::to_string(incarnation.value()) +
                       " after " + std::to_string(target.incarnation.value()) + ", " +
                       std::to_string(target.runs.size()) + " runs to look for";
  target.incarnation = incarnation;
  target.ForgetEarlierIncarnation();
  // The new incarnation accepts any token. It doesn't show whether an owner with a higher one has
  // read the ends of the earlier incarnation.
  for (auto& [key, run] : target.runs) {
    run.had_other_owner = true;
  }
  if (!target.runs.empty()) {
    // A start request that reached the new incarnation carried a time on the clock of the earlier
    // one; the target limits such a lease to the maximum.
    target.ExtendLease(this->settings.maximum_lease, now);
  }
  this->target_health.RemoveTarget(target.report.id);
  this->target_health.AddTarget(target.report.id);
  target.health = this->target_health.StateOf(target.report.id);
  BeginAdoption(target, std::move(reason), now, actions);
}

void ServiceScheduler::DropTarget(const TargetId& target, TimePoint may_run_until,
                                  const char* reason, TimePoint now, SchedulerActions& actions) {
  auto found = this->targets.find(target);
  if (found == this->targets.end()) {
    return;
  }
  actions.decisions.push_back({"target dropped", {}, target, found->second.fencing_token, reason});
  this->AbandonRuns(found->second, may_run_until, reason, now, actions);
  this->targets.erase(found);
  this->target_health.RemoveTarget(target);
}

bool ServiceScheduler::IsStartResponseExpected(const LeasedTarget& target, TimePoint now) {
  return std::any_of(target.runs.begin(), target.runs.end(), [now](const auto& entry) {
    const TargetRun& run = entry.second;
    return run.phase == TargetRun::Phase::kStarting && !run.is_on_known_incarnation &&
           now - run.start_requested_at < kStartCheckWait;
  });
}

void ServiceScheduler::PollIfDue(LeasedTarget& target, TimePoint now, SchedulerActions& actions) {
  const bool is_adopting = target.phase == LeasedTarget::Phase::kAdopting;
  const bool has_runs = !target.runs.empty() || target.unknown_run_count > 0;
  const base::SequenceNumber acknowledgeable_end =
      target.pending_acknowledgements.LastAcknowledgeableEnd(target.last_processed_end);
  const bool has_ends_to_acknowledge = target.last_acknowledged_end < acknowledgeable_end;
  const bool is_acknowledgement_due =
      has_ends_to_acknowledge && now - target.last_poll_sent_at >= kMaximumAcknowledgementDelay;
  if (target.phase == LeasedTarget::Phase::kFenced || now < target.next_poll_at ||
      !(is_adopting || has_runs || is_acknowledgement_due)) {
    return;
  }
  if (target.is_poll_pending && now < target.poll_deadline) {
    return;
  }
  if (has_ends_to_acknowledge && IsStartResponseExpected(target, now)) {
    return;  // The response shows whether the poll may acknowledge the ends.
  }
  if (target.is_poll_pending) {
    ++target.overdue_poll_count;
  }
  PollRequest request;
  request.target = target.Endpoint();
  target.last_poll_sequence_number = target.last_poll_sequence_number.Next();
  request.sequence_number = target.last_poll_sequence_number;
  if (has_ends_to_acknowledge) {
    if (target.MayAcknowledgeEnds()) {
      request.acknowledged_up_to = acknowledgeable_end;
    } else {
      // The target doesn't hold back its response, because it lists the ends again.
      target.next_poll_at = now + kPollRetryDelay;
    }
  }
  // The lease of a target that doesn't respond isn't extended, so that its tasks can be placed
  // elsewhere.
  if (has_runs && !is_adopting && target.overdue_poll_count == 0 &&
      !target.pending_acknowledgements.IsAwaitingLeaseExpiry()) {
    request.maximum_wait = this->PollWait(target, now);
    const Duration lease = this->gateway_liveness.MaximumLeaseFor(target, now);
    if (lease > Duration(0)) {
      request.lease_end = target.ClockAt(now) + lease;
      target.ExtendLease(lease, now);
    }
    if (lease < this->settings.maximum_lease / 2) {
      // The lease is to end soon because of one of the runs; runs that are started now would end
      // with it too.
      target.ExtendBackoff(now + kBackoffBeforeLeaseEnd);
    }
  }
  target.is_poll_pending = true;
  target.last_poll_sent_at = now;
  target.poll_deadline =
      now + request.maximum_wait +
      kPollTimeout * (1 << std::min(target.overdue_poll_count, kMaximumTimeoutDoublings));
  actions.poll_requests.push_back(request);
}

void ServiceScheduler::EndBatch(std::map<BatchKey, PlacedBatch>::iterator batch_iterator,
                                std::optional<BatchResult::Outcome> outcome, const char* reason,
                                TimePoint now, SchedulerActions& actions) {
  PlacedBatch& placed = batch_iterator->second;
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
      this->StopRun(target->second, key, run->second, now, actions);
    }
  }
  this->batch_queue.erase(placed.Position());
  if (outcome) {
    actions.batch_results.push_back({batch_iterator->first, *outcome, reason});
  }
  this->batches.erase(batch_iterator);
}

bool ServiceScheduler::HasUsableTarget(const PlacementRule& rule, const BatchTask& task,
                                       TimePoint now) const {
  return std::any_of(this->targets.begin(), this->targets.end(), [&](const auto& entry) {
    const LeasedTarget& target = entry.second;
    return target.report.capacity.CanFit(task.required_resources) &&
           this->CanStartRuns(target, now) && target.SatisfiesPlacementRule(rule, task.key);
  });
}

bool ServiceScheduler::AreSuitableTargetsEvacuated(const PlacedBatch& placed, TimePoint now) const {
  const BatchTask& task = placed.batch.tasks.front();
  bool has_evacuated_target = false;
  for (const auto& [id, target] : this->targets) {
    if (!target.report.capacity.CanFit(task.required_resources) ||
        !target.HasRequiredLabel(placed.batch.placement_rule)) {
      continue;
    }
    if (target.is_evacuated) {
      has_evacuated_target = true;
    } else if (target.MayStartRunsSoon() &&
               now - target.last_heard_at < this->settings.target_silence_limit) {
      return false;
    }
  }
  return has_evacuated_target;
}

const char* ServiceScheduler::WhyStartIsForbidden(const PlacedBatch& placed, TimePoint now) const {
  if (!this->start_permission.AllowsStartsAt(now)) {
    return "this host may not start runs now";
  }
  if (!this->start_permission.evacuated_data_centres().empty() &&
      this->AreSuitableTargetsEvacuated(placed, now)) {
    return "all targets of this host that could run the task are evacuated";
  }
  return nullptr;
}

void ServiceScheduler::ReturnTasksWithoutTarget(
    std::map<BatchKey, PlacedBatch>::iterator batch_iterator, TimePoint now,
    SchedulerActions& actions) {
  const PlacedBatch& placed = batch_iterator->second;
  const TaskBatch& batch = placed.batch;
  if (placed.waiting_tasks.empty() || !(batch.is_stored || batch.can_be_returned)) {
    return;
  }
  const char* reason = this->WhyStartIsForbidden(placed, now);
  const bool is_forbidden = reason != nullptr;
  if (!is_forbidden && !batch.is_stored) {
    return;
  }
  const TimePoint queued_by = is_forbidden ? now : now - batch.wait_limit;
  const ReturnableTasks returnable(placed, this->reserved_tasks, queued_by);
  // All tasks of a batch belong to one step and have the same requirements.
  if (returnable.positions().empty() ||
      (!is_forbidden && this->HasUsableTarget(batch.placement_rule,
                                              batch.tasks[returnable.positions().front()], now))) {
    return;
  }
  if (is_forbidden && batch.is_stored && placed.start_count == 0 &&
      returnable.positions().size() == placed.tasks.size()) {
    // The stored job manager need not record that earlier runs are superseded.
    this->EndBatch(batch_iterator, BatchResult::Outcome::kNotRun, reason, now, actions);
    return;
  }
  this->GiveBackTasks(batch_iterator, returnable, is_forbidden,
                      is_forbidden ? reason : "no target of this host can run the task", now,
                      actions);
}

void ServiceScheduler::GiveBackTasks(std::map<BatchKey, PlacedBatch>::iterator batch_iterator,
                                     const ReturnableTasks& returnable, bool is_run_gone,
                                     const char* reason, TimePoint now, SchedulerActions& actions) {
  PlacedBatch& placed = batch_iterator->second;
  returnable.RemoveFrom(placed);
  if (placed.waiting_tasks.empty()) {
    this->batch_queue.erase(placed.Position());
  }
  if (this->capacity_reserver.IsReservedFor(batch_iterator->first)) {
    this->capacity_reserver.End();
  }
  if (placed.batch.can_be_returned) {
    ReturnedTasks message = returnable.MakeMessage(placed, reason);
    placed.unfinished_task_count -= returnable.positions().size();
    message.is_batch_ended = placed.unfinished_task_count == 0;
    actions.returned_tasks.push_back(std::move(message));
    if (placed.unfinished_task_count == 0) {
      this->EndBatch(batch_iterator, std::nullopt, reason, now, actions);
    }
    return;
  }
  for (const size_t position : returnable.positions()) {
    const RunKey key{
        placed.batch.tasks[position].key,
        std::max(placed.tasks[position].last_run_number, placed.batch.first_run_number)};
    actions.run_events.push_back({placed.batch.service, TargetId(), base::Incarnation(),
                                  base::SequenceNumber(), key, RunEvent::Kind::kReturned});
    actions.run_events.back().is_run_gone = is_run_gone;
    actions.decisions.push_back({"task returned", key, {}, {}, reason});
    this->FinishTask(batch_iterator, now, actions);
  }
}

void ServiceScheduler::ExpireBatches(TimePoint now, SchedulerActions& actions) {
  for (auto found = this->batches.begin(); found != this->batches.end();) {
    auto next = std::next(found);
    const PlacedBatch& placed = found->second;
    const Duration age = now - placed.arrived_at;
    // The stored job manager would place the batch again behind others, which would take the
    // capacity that is becoming free for it.
    const bool has_reserved_targets =
        placed.batch.is_stored && this->capacity_reserver.IsReservedFor(found->first);
    if (placed.start_count == 0 && age >= placed.batch.wait_limit && !has_reserved_targets) {
      this->EndBatch(found, BatchResult::Outcome::kNotRun, "no free capacity within the wait limit",
                     now, actions);
    } else if (age >= placed.batch.time_left) {
      this->EndBatch(found, BatchResult::Outcome::kUnfinished, "the deadline has passed", now,
                     actions);
    } else {
      this->ReturnTasksWithoutTarget(found, now, actions);
    }
    found = next;
  }
}

void ServiceScheduler::Tick(TimePoint now, SchedulerActions& actions) {
  this->ExpireBatches(now, actions);
  for (const TargetId& id : this->target_health.BeginProbations(now)) {
    this->targets.at(id).health = targets::HealthState::kProbation;
    actions.decisions.push_back(
        {"target on probation", {}, id, {}, "the time of its ejection has ended"});
  }
  while (!this->reservation_expiries.empty() && this->reservation_expiries.begin()->first < now) {
    this->reserved_tasks.erase(
        this->reserved_tasks.find(this->reservation_expiries.begin()->second));
    this->reservation_expiries.erase(this->reservation_expiries.begin());
  }
  std::vector<TargetId> silent_targets;
  for (auto& [id, target] : this->targets) {
    target.pending_acknowledgements.RemoveExpired(now);
    for (auto& [key, run] : target.runs) {
      if (run.phase == TargetRun::Phase::kStopping && !run.is_stop_pending &&
          !run.stop_confirmed_at && now >= run.next_stop_at) {
        this->StopRun(target, key, run, now, actions);
      }
    }
    if (!target.runs.empty() && now > target.lease_end) {
      this->OrphanRuns(target, now, actions);
    }
    this->PollIfDue(target, now, actions);
    if (now - target.last_heard_at >= this->settings.drop_target_after) {
      silent_targets.push_back(id);
    }
  }
  for (const TargetId& id : silent_targets) {
    this->DropTarget(id, TimePoint(), "no response or report from the target within the time limit",
                     now, actions);
  }
  this->StartQueuedTasks(now, actions);
}

void ServiceScheduler::AddRunCounts(std::map<base::DataCentreId, size_t>& counts) const {
  for (const auto& [id, target] : this->targets) {
    const size_t count = target.runs.size() + target.unknown_run_count;
    if (count > 0) {
      counts[target.report.data_centre] += count;
    }
  }
}

CapacityReport::ServiceCapacity ServiceScheduler::Capacity(TimePoint now) const {
  CapacityReport::ServiceCapacity capacity;
  const int64_t mean_processors =
      std::max<int64_t>(1, static_cast<int64_t>(this->mean_required_processors));
  const std::vector<const LeasedTarget*> usable_targets = this->UsableTargets(now);
  for (const LeasedTarget* target : usable_targets) {
    // A target that is smaller than most tasks holds a small one.
    const int64_t processors_per_task =
        std::clamp<int64_t>(target->report.capacity.processors.value(), 1, mean_processors);
    capacity.free_task_capacity +=
        base::TaskCount(target->FreeResources().processors.value() / processors_per_task);
    capacity.total_task_capacity +=
        base::TaskCount(target->report.capacity.processors.value() / processors_per_task);
  }
  WaitingTaskSummary waiting_tasks(usable_targets);
  for (const auto& [position, queued] : this->batch_queue) {
    waiting_tasks.Add(this->batches.at(queued.key));
  }
  waiting_tasks.WriteTo(capacity);
  capacity.mean_end_interval = this->task_end_rate.MeanInterval(now);
  return capacity;
}

}  // namespace sapphirecrank::runs
