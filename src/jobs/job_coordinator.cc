#include "jobs/job_coordinator.h"

#include <algorithm>
#include <string>

#include "jobs/submission.h"

namespace sapphirecrank::jobs {

namespace {

constexpr uint32_t kMaximumDelayDoublings = 3;

base::Error PossibleDuplicateError() {
  base::Error error;
  error.code = base::ErrorCode::kUnavailable;
  error.field = "id";
  error.message =
      "the id may have been accepted before, by an entry host that was lost or replaced";
  error.verdict = base::ExecutionVerdict::kMayHaveRun;
  return error;
}

JobResult RejectedJobResult(const Submission& submission, base::Error error) {
  JobResult answer;
  for (size_t position = 0; position < submission.tasks.size(); ++position) {
    TaskResult result;
    result.index = base::TaskIndex(static_cast<base::TaskIndex::ValueType>(position));
    result.verdict = error.verdict;
    answer.task_results.push_back(std::move(result));
  }
  answer.error = std::move(error);
  return answer;
}

base::Error TaskFailureError(const TaskReport& report) {
  base::Error error;
  error.code = report.error_code;
  error.message = "task " + std::to_string(report.key.index.value()) + " failed";
  if (!report.body.empty()) {
    error.message += ": " + report.body;
  }
  return error;
}

base::Error MakeError(base::ErrorCode code, std::string message) {
  base::Error error;
  error.code = code;
  error.message = std::move(message);
  return error;
}

}  // namespace

JobCoordinator::JobCoordinator(MembershipView::Member self, JobCoordinatorSettings settings,
                               Hooks hooks)
    : self(std::move(self)),
      settings(settings),
      hooks(std::move(hooks)),
      latest_view_history(std::make_shared<ViewHistory>(
          this->self, this->hooks.select_replica_hosts, settings.view_transition_time)),
      shards(settings.shard_count) {
  this->shards.ForEachShard(
      [this](Shard& shard) { shard.view_history = this->latest_view_history; });
}

void JobCoordinator::SetView(const MembershipView& view) {
  if (view.epoch <= this->latest_view_history->current_epoch()) {
    return;
  }
  CallContext moment = this->CaptureCallContext();
  auto history = std::make_shared<ViewHistory>(*this->latest_view_history);
  history->AddView(view, moment.now,
                   this->settings.maximum_new_submission_age + this->settings.view_transition_time +
                       2 * this->settings.maximum_clock_skew);
  this->InstallView(history, moment);
}

void JobCoordinator::OnHostRestart(const MembershipView::Member& member) {
  if (member.host == this->self.host ||
      !this->latest_view_history->HasEarlierIncarnationOf(member)) {
    return;
  }
  auto history = std::make_shared<ViewHistory>(*this->latest_view_history);
  history->ReplaceMember(member);
  this->InstallView(history, this->CaptureCallContext());
}

void JobCoordinator::Submit(std::shared_ptr<const Submission> submission, ResultCallback on_answer,
                            AcceptedCallback on_accepted) {
  const base::SubmissionId id = submission->id;
  SubmitRequest request;
  request.content_hash = ContentHash(*submission);
  request.submission_age = this->hooks.submission_age(id);
  request.may_run_unreplicated =
      this->hooks.may_run_unreplicated && this->hooks.may_run_unreplicated(*submission);
  request.submission = std::move(submission);
  request.on_result = std::move(on_answer);
  request.on_accepted = std::move(on_accepted);
  CallContext moment = this->CaptureCallContext();
  Effects effects;
  this->shards.WithShard(
      id, [&](Shard& shard) { this->AddOrJoinJob(shard, request, moment, effects); });
  this->ApplyEffects(effects);
}

void JobCoordinator::OnJobRecord(const base::HostId& from, const JobRecord& record) {
  IncomingRecord incoming{record, 0, std::nullopt};
  if (record.submission) {
    incoming.content_hash = ContentHash(*record.submission);
    incoming.submission_age = this->hooks.submission_age(record.id);
  }
  CallContext moment = this->CaptureCallContext();
  RecordAck ack;
  ack.owner_incarnation = record.owner.incarnation;
  ack.sequence_number = record.sequence_number;
  ack.id = record.id;
  this->shards.WithShard(record.id, [&](Shard& shard) {
    ack.epoch = shard.view_history->current_epoch();
    ack.outcome = this->StoreRecord(shard, incoming, moment);
    if (ack.outcome == RecordAck::Outcome::kPossibleDuplicate) {
      ack.known_owner = this->KnownOwner(shard, record.id);
    }
  });
  this->hooks.send_record_ack(from, ack);
}

void JobCoordinator::OnRecordAck(const base::HostId& from, const RecordAck& ack) {
  CallContext moment = this->CaptureCallContext();
  Effects effects;
  this->shards.WithShard(ack.id, [&](Shard& shard) {
    auto found = shard.jobs.find(ack.id);
    // Without a view lease the acknowledgement counts as lost; the record is sent again.
    if (found == shard.jobs.end() || !moment.has_view_lease) {
      return;
    }
    Job& job = *found->second;
    bool current = this->IsJobOwner(job) && job.outstanding_record &&
                   ack.epoch == shard.view_history->current_epoch() &&
                   ack.owner_incarnation == this->self.incarnation && from == job.backup.host &&
                   ack.sequence_number == job.outstanding_record->record->sequence_number;
    if (!current) {
      return;
    }
    if (ack.outcome == RecordAck::Outcome::kStored) {
      this->OnRecordStored(shard, job, moment, effects);
    } else if (ack.outcome == RecordAck::Outcome::kUnknownJob) {
      WithdrawOutstandingRecord(job, moment.now);
      job.has_full_backup = false;
      job.tasks.MarkAllResultsUnrecorded();
      this->AdvanceJob(shard, job, moment, effects);
    } else if (ack.outcome == RecordAck::Outcome::kPossibleDuplicate) {
      RejectDuplicateJob(shard, job, ack.known_owner, effects);
      return;
    }
    this->ScheduleTimer(shard, job);
  });
  this->ApplyEffects(effects);
}

bool JobCoordinator::OnTaskReport(const TaskReport& report) {
  CallContext moment = this->CaptureCallContext();
  Effects effects;
  bool taken = this->shards.WithShard(report.key.submission, [&](Shard& shard) {
    auto found = shard.jobs.find(report.key.submission);
    if (found == shard.jobs.end()) {
      return false;
    }
    Job& job = *found->second;
    if (!this->IsJobOwner(job) || !IsJobRunning(job)) {
      return false;
    }
    TaskTable::ReportOutcome outcome =
        job.tasks.ApplyReport(report, this->settings.maximum_placements_per_task);
    if (outcome == TaskTable::ReportOutcome::kIgnored) {
      return false;
    }
    this->ApplyReportOutcome(shard, job, report, outcome, moment, effects);
    this->ScheduleTimer(shard, job);
    return true;
  });
  this->ApplyEffects(effects);
  return taken;
}

bool JobCoordinator::CancelJob(const base::SubmissionId& id) {
  CallContext moment = this->CaptureCallContext();
  Effects effects;
  bool cancelled = this->shards.WithShard(id, [&](Shard& shard) {
    auto found = shard.jobs.find(id);
    if (found == shard.jobs.end() || !this->IsJobOwner(*found->second) ||
        !IsJobRunning(*found->second)) {
      return false;
    }
    this->BeginEndingJob(shard, *found->second,
                         MakeError(base::ErrorCode::kCancelled, "the job was cancelled"), moment,
                         effects);
    return true;
  });
  this->ApplyEffects(effects);
  return cancelled;
}

size_t JobCoordinator::CancelJobsOfTeam(const base::TeamId& team) {
  CallContext moment = this->CaptureCallContext();
  size_t cancelled = 0;
  for (size_t i = 0; i < this->shards.shard_count(); ++i) {
    Effects effects;
    this->shards.WithShardAt(i, [&](Shard& shard) {
      auto found = shard.running_jobs.find(team);
      if (found == shard.running_jobs.end()) {
        return;
      }
      // `BeginEndingJob` removes each job from the set.
      std::unordered_set<Job*> jobs;
      jobs.swap(found->second);
      for (Job* job : jobs) {
        this->BeginEndingJob(
            shard, *job,
            MakeError(base::ErrorCode::kCancelled, "all jobs of the team were cancelled"), moment,
            effects);
      }
      cancelled += jobs.size();
    });
    this->ApplyEffects(effects);
  }
  return cancelled;
}

JobStatus JobCoordinator::StatusOf(const base::SubmissionId& id) {
  return this->shards.WithShard(id, [&](Shard& shard) {
    JobStatus status;
    auto found = shard.jobs.find(id);
    if (found == shard.jobs.end()) {
      return status;
    }
    const Job& job = *found->second;
    switch (job.phase) {
      case Phase::kRecordingSubmission:
        status.state = JobStatus::State::kRecordingSubmission;
        break;
      case Phase::kRunning:
        status.state = JobStatus::State::kRunning;
        break;
      case Phase::kRecordingOutcome:
        status.state = JobStatus::State::kRecordingOutcome;
        break;
      case Phase::kEnded:
        status.state = job.succeeded ? JobStatus::State::kSucceeded : JobStatus::State::kFailed;
        break;
    }
    status.owner = job.owner.host;
    status.task_count = base::TaskCount(static_cast<int64_t>(job.tasks.size()));
    status.in_flight_task_count =
        base::TaskCount(static_cast<int64_t>(job.tasks.in_flight_task_count()));
    status.ended_task_count = base::TaskCount(static_cast<int64_t>(job.tasks.ended_task_count()));
    return status;
  });
}

base::HostId JobCoordinator::OwnerOf(const base::SubmissionId& id) {
  return this->shards.WithShard(id, [&](Shard& shard) {
    base::HostId owner = this->KnownOwner(shard, id);
    return owner.empty() ? shard.view_history->ReplicaHostsOf(id).owner : owner;
  });
}

void JobCoordinator::Tick() {
  CallContext moment = this->CaptureCallContext();
  for (size_t i = 0; i < this->shards.shard_count(); ++i) {
    Effects effects;
    this->shards.WithShardAt(i, [&](Shard& shard) {
      std::vector<Job*> due;
      for (auto it = shard.timers.begin(); it != shard.timers.end() && it->first <= moment.now;
           ++it) {
        due.push_back(it->second);
      }
      for (Job* job : due) {
        this->OnJobTimer(shard, *job, moment, effects);
      }
      this->EvictEndedJobs(shard, moment.now);
    });
    this->ApplyEffects(effects);
  }
}

JobCoordinator::CallContext JobCoordinator::CaptureCallContext() const {
  CallContext moment;
  moment.now = this->hooks.now();
  const base::Result<void> allowed = this->hooks.check_view_lease();
  moment.has_view_lease = allowed.has_value();
  if (!allowed) {
    moment.lease_error = allowed.error().message;
  }
  return moment;
}

base::TimePoint JobCoordinator::EarliestCreationTime(std::optional<base::Duration> age,
                                                     base::TimePoint now) const {
  return now - age.value_or(base::Duration(0)) - this->settings.maximum_clock_skew;
}

bool JobCoordinator::IsJobRunning(const Job& job) {
  return job.phase == Phase::kRecordingSubmission || job.phase == Phase::kRunning;
}

bool JobCoordinator::IsJobOwner(const Job& job) const { return job.owner == this->self; }

void JobCoordinator::AddOrJoinJob(Shard& shard, SubmitRequest& request, const CallContext& moment,
                                  Effects& effects) {
  auto found = shard.jobs.find(request.submission->id);
  if (found != shard.jobs.end()) {
    this->JoinJob(*found->second, request, effects);
    return;
  }
  base::Result<void> check = this->ValidateNewSubmission(shard, request, moment);
  if (check) {
    this->AddNewJob(shard, request, moment, effects);
    return;
  }
  JobResult answer = RejectedJobResult(*request.submission, check.error());
  if (answer.error.code == base::ErrorCode::kFenced) {
    answer.owner = shard.view_history->ReplicaHostsOf(request.submission->id).owner;
  }
  ResultDelivery refusal;
  refusal.result = std::make_shared<JobResult>(std::move(answer));
  refusal.callbacks.push_back(std::move(request.on_result));
  effects.result_deliveries.push_back(std::move(refusal));
}

void JobCoordinator::JoinJob(Job& job, SubmitRequest& request, Effects& effects) const {
  std::optional<JobResult> answer;
  if (job.phase != Phase::kEnded && !this->IsJobOwner(job)) {
    base::Error error = MakeError(base::ErrorCode::kFenced,
                                  "the job belongs to entry host " + job.owner.host.value());
    error.verdict = base::ExecutionVerdict::kMayHaveRun;
    answer = RejectedJobResult(*request.submission, std::move(error));
    answer->owner = job.owner.host;
  } else if (job.content_hash != request.content_hash) {
    base::Error error = MakeError(base::ErrorCode::kConflict,
                                  "the id was used before for a submission with other content");
    error.field = "id";
    answer = RejectedJobResult(*request.submission, std::move(error));
  } else if (job.phase == Phase::kEnded || job.was_answered_unrecorded) {
    answer = MakeJobResult(job, job.phase == Phase::kEnded);
  }
  if (answer) {
    ResultDelivery answers;
    answers.result = std::make_shared<JobResult>(std::move(*answer));
    answers.callbacks.push_back(std::move(request.on_result));
    effects.result_deliveries.push_back(std::move(answers));
    return;
  }
  job.result_callbacks.push_back(std::move(request.on_result));
  if (!request.on_accepted) {
    return;
  }
  if (job.phase == Phase::kRunning) {
    effects.accepted_callbacks.push_back(std::move(request.on_accepted));
  } else {
    job.accepted_callbacks.push_back(std::move(request.on_accepted));
  }
}

void JobCoordinator::AddNewJob(Shard& shard, SubmitRequest& request, const CallContext& moment,
                               Effects& effects) {
  const Submission& submission = *request.submission;
  std::unique_ptr<Job>& entry = shard.jobs[submission.id];
  entry = std::make_unique<Job>(submission.tasks.size());
  Job& job = *entry;
  job.id = submission.id;
  job.team = submission.team;
  job.content_hash = request.content_hash;
  job.owner = this->self;
  job.ownership_sequence_number = base::SequenceNumber(this->next_sequence_number++);
  job.backup = shard.view_history->BackupFor(job.id, this->self.host);
  job.created_at = this->EarliestCreationTime(request.submission_age, moment.now);
  job.requires_uniqueness_check = !shard.view_history->WasReplicaHostSince(job.id, job.created_at);
  job.deadline = moment.now + submission.time_left;
  job.result_callbacks.push_back(std::move(request.on_result));
  if (request.on_accepted) {
    job.accepted_callbacks.push_back(std::move(request.on_accepted));
  }
  job.submission = std::move(request.submission);
  AddToRunningJobs(shard, job);
  this->AdvanceJob(shard, job, moment, effects);
  this->ScheduleTimer(shard, job);
}

base::Result<void> JobCoordinator::ValidateNewSubmission(const Shard& shard,
                                                         const SubmitRequest& request,
                                                         const CallContext& moment) const {
  if (!request.submission_age) {
    return base::MakeErrorResult(base::ErrorCode::kInvalidArgument,
                                 "the id carries no creation time", "id");
  }
  base::Result<void> unknown = this->ValidateUnknownId(shard, request, moment.now);
  if (!unknown) {
    return unknown;
  }
  if (!moment.has_view_lease) {
    return base::MakeErrorResult(base::ErrorCode::kUnavailable, moment.lease_error, "",
                                 base::ExecutionVerdict::kMayHaveRun);
  }
  if (shard.view_history->ReplicaHostsOf(request.submission->id).owner != this->self.host) {
    return base::MakeErrorResult(base::ErrorCode::kFenced, "the id belongs to another entry host",
                                 "id", base::ExecutionVerdict::kMayHaveRun);
  }
  base::Result<void> content = this->ValidateContent(*request.submission);
  if (!content) {
    return content;
  }
  if (shard.view_history->current_host_count() == 1 && !this->hooks.write_record_to_disk &&
      !request.may_run_unreplicated) {
    return base::MakeErrorResult(base::ErrorCode::kUnavailable,
                                 "no second entry host or disk can hold a copy of the job");
  }
  return {};
}

base::Result<void> JobCoordinator::ValidateUnknownId(const Shard& shard,
                                                     const SubmitRequest& request,
                                                     base::TimePoint now) const {
  const base::ExecutionVerdict may_have_run = base::ExecutionVerdict::kMayHaveRun;
  if (*request.submission_age < -this->settings.maximum_clock_skew) {
    return base::MakeErrorResult(base::ErrorCode::kInvalidArgument,
                                 "the creation time of the id is in the future", "id",
                                 may_have_run);
  }
  base::TimePoint created = this->EarliestCreationTime(request.submission_age, now);
  if (*request.submission_age > this->settings.maximum_new_submission_age ||
      created <= shard.evicted_creation_bound) {
    return base::MakeErrorResult(base::ErrorCode::kExpired, "the id has expired", "id",
                                 may_have_run);
  }
  bool has_backup = shard.view_history->current_host_count() > 1;
  if (!has_backup && !shard.view_history->WasReplicaHostSince(request.submission->id, created)) {
    return tl::make_unexpected(PossibleDuplicateError());
  }
  return {};
}

base::Result<void> JobCoordinator::ValidateContent(const Submission& submission) const {
  if (submission.tasks.empty()) {
    return base::MakeErrorResult(base::ErrorCode::kInvalidArgument, "a job has at least one task",
                                 "tasks");
  }
  if (submission.tasks.size() > this->settings.maximum_tasks_per_job) {
    return base::MakeErrorResult(
        base::ErrorCode::kTooLarge,
        "a job has at most " + std::to_string(this->settings.maximum_tasks_per_job) + " tasks",
        "tasks");
  }
  if (submission.time_left <= base::Duration(0)) {
    return base::MakeErrorResult(base::ErrorCode::kDeadlineExceeded, "the deadline has passed");
  }
  return {};
}

bool JobCoordinator::IsBackupRecordOfView(const ViewHistory& view, const JobRecord& record) const {
  return record.epoch == view.current_epoch() && view.ContainsSelf() &&
         view.ContainsMember(record.owner) && record.owner != this->self;
}

base::HostId JobCoordinator::KnownOwner(const Shard& shard, const base::SubmissionId& id) const {
  auto found = shard.jobs.find(id);
  if (found == shard.jobs.end()) {
    return base::HostId();
  }
  const Job& job = *found->second;
  return job.phase == Phase::kEnded ? this->self.host : job.owner.host;
}

RecordAck::Outcome JobCoordinator::StoreRecord(Shard& shard, const IncomingRecord& incoming,
                                               const CallContext& moment) {
  const JobRecord& record = incoming.record;
  if (!moment.has_view_lease || !this->IsBackupRecordOfView(*shard.view_history, record)) {
    return RecordAck::Outcome::kFenced;
  }
  auto found = shard.jobs.find(record.id);
  if (found == shard.jobs.end()) {
    if (!record.submission) {
      return RecordAck::Outcome::kUnknownJob;
    }
    base::TimePoint created = this->EarliestCreationTime(incoming.submission_age, moment.now);
    bool is_new = created > shard.evicted_creation_bound &&
                  shard.view_history->WasReplicaHostSince(record.id, created);
    if (record.requires_uniqueness_check && !is_new) {
      return RecordAck::Outcome::kPossibleDuplicate;
    }
    this->MergeIntoBackupCopy(shard, this->AddBackupCopy(shard, incoming, moment.now), record,
                              moment.now);
    return RecordAck::Outcome::kStored;
  }
  Job& job = *found->second;
  if (job.owner != record.owner ||
      job.ownership_sequence_number != record.ownership_sequence_number) {
    return record.requires_uniqueness_check ? RecordAck::Outcome::kPossibleDuplicate
                                            : RecordAck::Outcome::kFenced;
  }
  if (job.phase == Phase::kEnded) {
    return record.has_ended ? RecordAck::Outcome::kStored : RecordAck::Outcome::kFenced;
  }
  this->MergeIntoBackupCopy(shard, job, record, moment.now);
  return RecordAck::Outcome::kStored;
}

JobCoordinator::Job& JobCoordinator::AddBackupCopy(Shard& shard, const IncomingRecord& incoming,
                                                   base::TimePoint now) const {
  const JobRecord& record = incoming.record;
  std::unique_ptr<Job>& entry = shard.jobs[record.id];
  entry = std::make_unique<Job>(record.submission->tasks.size());
  Job& job = *entry;
  job.id = record.id;
  job.team = record.submission->team;
  job.content_hash = incoming.content_hash;
  job.owner = record.owner;
  job.ownership_sequence_number = record.ownership_sequence_number;
  job.phase = Phase::kRunning;
  job.created_at = this->EarliestCreationTime(incoming.submission_age, now);
  job.deadline = now + record.time_left;
  job.submission = record.submission;
  return job;
}

void JobCoordinator::MergeIntoBackupCopy(Shard& shard, Job& job, const JobRecord& record,
                                         base::TimePoint now) {
  job.tasks.MergeRecord(record.started_tasks, record.task_results);
  if (record.has_ended) {
    job.succeeded = record.succeeded;
    job.error = record.error;
    this->RetainEndedJob(shard, job, now);
  }
  this->ScheduleTimer(shard, job);
}

void JobCoordinator::InstallView(const std::shared_ptr<const ViewHistory>& view,
                                 const CallContext& moment) {
  this->latest_view_history = view;
  for (size_t i = 0; i < this->shards.shard_count(); ++i) {
    Effects effects;
    this->shards.WithShardAt(
        i, [&](Shard& shard) { this->InstallViewInShard(shard, view, moment, effects); });
    this->ApplyEffects(effects);
  }
}

void JobCoordinator::InstallViewInShard(Shard& shard,
                                        const std::shared_ptr<const ViewHistory>& view,
                                        const CallContext& moment, Effects& effects) {
  bool contiguous = view->IsContiguousWith(shard.view_history->current_epoch());
  shard.view_history = view;
  std::vector<Job*> jobs;
  for (auto& [id, job] : shard.jobs) {
    if (job->phase != Phase::kEnded) {
      jobs.push_back(job.get());
    }
  }
  for (Job* job : jobs) {
    if (!contiguous || !this->JobSurvivesView(*view, *job)) {
      DropJob(shard, *job, effects);
    } else if (this->IsJobOwner(*job)) {
      this->RetainOwnedJob(shard, *job, moment, effects);
    } else if (!view->ContainsMember(job->owner)) {
      this->TakeOverJob(shard, *job, moment, effects);
    }
  }
}

bool JobCoordinator::JobSurvivesView(const ViewHistory& view, const Job& job) const {
  if (!view.ContainsSelf()) {
    return false;
  }
  return !(job.requires_uniqueness_check && view.current_host_count() == 1);
}

void JobCoordinator::RetainOwnedJob(Shard& shard, Job& job, const CallContext& moment,
                                    Effects& effects) {
  WithdrawOutstandingRecord(job, moment.now);
  if (!shard.view_history->ContainsMember(job.backup)) {
    job.backup = shard.view_history->BackupFor(job.id, this->self.host);
    job.has_full_backup = false;
    job.tasks.MarkAllResultsUnrecorded();
  }
  this->AdvanceJob(shard, job, moment, effects);
  this->ScheduleTimer(shard, job);
}

void JobCoordinator::TakeOverJob(Shard& shard, Job& job, const CallContext& moment,
                                 Effects& effects) {
  job.owner = this->self;
  job.ownership_sequence_number = base::SequenceNumber(this->next_sequence_number++);
  job.backup = shard.view_history->BackupFor(job.id, this->self.host);
  job.has_full_backup = false;
  job.tasks.MarkAllResultsUnrecorded();
  AddToRunningJobs(shard, job);
  if (job.tasks.has_failed_task()) {
    this->BeginEndingJob(shard, job,
                         MakeError(base::ErrorCode::kTargetFailed,
                                   "a task failed before the job's entry host was lost"),
                         moment, effects);
    return;
  }
  if (job.tasks.all_tasks_succeeded()) {
    this->BeginEndingJob(shard, job, std::nullopt, moment, effects);
    return;
  }
  if (job.tasks.has_inherited_tasks()) {
    job.inherited_task_deadline = moment.now + this->settings.inherited_task_timeout;
  }
  this->AdvanceJob(shard, job, moment, effects);
  this->ScheduleTimer(shard, job);
}

void JobCoordinator::AdvanceJob(Shard& shard, Job& job, const CallContext& moment,
                                Effects& effects) {
  if (job.phase == Phase::kEnded || job.outstanding_record) {
    return;
  }
  if (job.phase == Phase::kRecordingOutcome && job.backup.host.empty()) {
    // No other host has a copy that counts, so none can start anything.
    if (this->hooks.write_record_to_disk) {
      effects.records_to_write.push_back(this->BuildJobRecord(shard, job, {}, moment.now));
    }
    this->FinishEndingJob(shard, job, moment.now, effects);
    return;
  }
  job.advance_retry_at = base::TimePoint::max();
  std::vector<base::TaskIndex> starts;
  if (IsJobRunning(job) && moment.has_view_lease) {
    starts = job.tasks.TakeTasksToStart(this->settings.maximum_in_flight_tasks);
  } else if (IsJobRunning(job) && job.tasks.has_waiting_tasks()) {
    job.advance_retry_at = moment.now + this->settings.record_resend_delay;
  }
  if (!starts.empty() || JobNeedsRecord(job, moment.now)) {
    this->SendJobRecord(shard, job, std::move(starts), moment, effects);
  }
}

bool JobCoordinator::JobNeedsRecord(const Job& job, base::TimePoint now) {
  bool results_due = job.tasks.has_unrecorded_results() && job.record_results_at <= now;
  return !job.has_full_backup || job.phase == Phase::kRecordingOutcome || results_due;
}

std::shared_ptr<const JobRecord> JobCoordinator::BuildJobRecord(const Shard& shard, Job& job,
                                                                std::vector<base::TaskIndex> starts,
                                                                base::TimePoint now) {
  auto record = std::make_shared<JobRecord>();
  record->epoch = shard.view_history->current_epoch();
  record->owner = this->self;
  record->sequence_number = base::SequenceNumber(this->next_sequence_number++);
  record->ownership_sequence_number = job.ownership_sequence_number;
  record->id = job.id;
  record->requires_uniqueness_check = job.requires_uniqueness_check;
  record->time_left = job.deadline - now;
  record->started_tasks = std::move(starts);
  if (!job.has_full_backup) {
    record->submission = job.submission;
    record->started_tasks = job.tasks.StartedTasks();
  }
  record->task_results = job.tasks.TakeUnrecordedResults();
  job.record_results_at = base::TimePoint::max();
  record->has_ended = job.phase == Phase::kRecordingOutcome;
  record->succeeded = job.succeeded;
  record->error = job.error;
  return record;
}

void JobCoordinator::SendJobRecord(Shard& shard, Job& job, std::vector<base::TaskIndex> starts,
                                   const CallContext& moment, Effects& effects) {
  OutstandingRecord outstanding;
  outstanding.record = this->BuildJobRecord(shard, job, std::move(starts), moment.now);
  job.outstanding_record = std::move(outstanding);
  if (!job.backup.host.empty()) {
    this->SendOutstandingRecord(job, moment.now, effects);
  } else if (this->hooks.write_record_to_disk) {
    job.outstanding_record->resend_at = base::TimePoint::max();
    effects.records_to_write.push_back(job.outstanding_record->record);
  } else {
    this->OnRecordStored(shard, job, moment, effects);
  }
}

void JobCoordinator::SendOutstandingRecord(Job& job, base::TimePoint now, Effects& effects) const {
  OutstandingRecord& outstanding = *job.outstanding_record;
  uint32_t doublings = std::min(outstanding.send_count, kMaximumDelayDoublings);
  outstanding.resend_at = now + this->settings.record_resend_delay * (1 << doublings);
  ++outstanding.send_count;
  effects.records_to_send.emplace_back(job.backup.host, outstanding.record);
}

void JobCoordinator::WithdrawOutstandingRecord(Job& job, base::TimePoint now) {
  if (!job.outstanding_record) {
    return;
  }
  const JobRecord& record = *job.outstanding_record->record;
  job.tasks.RequeueStarts(record.started_tasks);
  job.tasks.MarkResultsUnrecorded(record.task_results);
  job.record_results_at = now;
  job.outstanding_record.reset();
}

void JobCoordinator::RejectDuplicateJob(Shard& shard, Job& job, const base::HostId& known_owner,
                                        Effects& effects) {
  job.tasks.EndUnfinishedTasks();
  job.succeeded = false;
  job.error = PossibleDuplicateError();
  if (!known_owner.empty()) {
    job.error.code = base::ErrorCode::kFenced;
    job.owner.host = known_owner;
  }
  QueueJobResult(job, false, effects);
  EraseJob(shard, job);
}

void JobCoordinator::OnRecordStored(Shard& shard, Job& job, const CallContext& moment,
                                    Effects& effects) {
  std::shared_ptr<const JobRecord> record = job.outstanding_record->record;
  job.outstanding_record.reset();
  job.has_full_backup = true;
  job.requires_uniqueness_check = false;
  if (record->has_ended) {
    this->FinishEndingJob(shard, job, moment.now, effects);
    return;
  }
  if (job.phase == Phase::kRecordingSubmission) {
    job.phase = Phase::kRunning;
  }
  for (AcceptedCallback& on_accepted : job.accepted_callbacks) {
    effects.accepted_callbacks.push_back(std::move(on_accepted));
  }
  job.accepted_callbacks.clear();
  for (base::TaskIndex index : record->started_tasks) {
    if (job.tasks.PlaceTask(index, shard.view_history->current_epoch())) {
      effects.tasks_to_start.push_back(MakeTaskStart(job, index));
    }
  }
  this->AdvanceJob(shard, job, moment, effects);
}

void JobCoordinator::OnRecordWritten(const JobRecord& record, bool ok) {
  CallContext moment = this->CaptureCallContext();
  Effects effects;
  this->shards.WithShard(record.id, [&](Shard& shard) {
    auto found = shard.jobs.find(record.id);
    if (found == shard.jobs.end()) {
      return;
    }
    Job& job = *found->second;
    bool current = this->IsJobOwner(job) && job.outstanding_record &&
                   job.outstanding_record->record->sequence_number == record.sequence_number &&
                   record.epoch == shard.view_history->current_epoch();
    if (!current) {
      return;
    }
    if (ok && moment.has_view_lease) {
      this->OnRecordStored(shard, job, moment, effects);
    } else if (job.phase == Phase::kRecordingSubmission) {
      this->BeginEndingJob(
          shard, job,
          MakeError(base::ErrorCode::kStorageFailed, "the job could not be written to disk"),
          moment, effects);
    } else {
      WithdrawOutstandingRecord(job, moment.now);
      job.advance_retry_at = moment.now + this->settings.record_resend_delay;
    }
    this->ScheduleTimer(shard, job);
  });
  this->ApplyEffects(effects);
}

void JobCoordinator::ApplyReportOutcome(Shard& shard, Job& job, const TaskReport& report,
                                        TaskTable::ReportOutcome outcome, const CallContext& moment,
                                        Effects& effects) {
  if (outcome == TaskTable::ReportOutcome::kRetryPlacement) {
    uint32_t doublings = std::min(report.placement.value() - 1, kMaximumDelayDoublings);
    base::TimePoint time = moment.now + this->settings.placement_retry_delay * (1 << doublings);
    job.placement_retry_at = std::min(job.placement_retry_at, time);
    return;
  }
  if (outcome == TaskTable::ReportOutcome::kFailed) {
    this->BeginEndingJob(shard, job, TaskFailureError(report), moment, effects);
    return;
  }
  if (job.tasks.all_tasks_succeeded()) {
    this->BeginEndingJob(shard, job, std::nullopt, moment, effects);
    return;
  }
  base::TimePoint record_by = moment.now + this->settings.result_batch_delay;
  job.record_results_at = std::min(job.record_results_at, record_by);
  this->AdvanceJob(shard, job, moment, effects);
}

void JobCoordinator::RetryPlacements(const Shard& shard, Job& job, const CallContext& moment,
                                     Effects& effects) const {
  if (!moment.has_view_lease || !job.has_full_backup) {
    job.placement_retry_at = moment.now + this->settings.placement_retry_delay;
    return;
  }
  job.placement_retry_at = base::TimePoint::max();
  for (base::TaskIndex index : job.tasks.RetryPlacements(shard.view_history->current_epoch())) {
    effects.tasks_to_start.push_back(MakeTaskStart(job, index));
  }
}

void JobCoordinator::OnJobTimer(Shard& shard, Job& job, const CallContext& moment,
                                Effects& effects) {
  if (!this->IsJobOwner(job)) {
    // The owner records the end soon after the deadline; this copy was left behind.
    EraseJob(shard, job);
    return;
  }
  this->OnOwnedJobTimer(shard, job, moment, effects);
  this->ScheduleTimer(shard, job);
}

void JobCoordinator::OnOwnedJobTimer(Shard& shard, Job& job, const CallContext& moment,
                                     Effects& effects) {
  if (IsJobRunning(job) && job.deadline <= moment.now) {
    this->BeginEndingJob(shard, job,
                         MakeError(base::ErrorCode::kDeadlineExceeded, "the deadline has passed"),
                         moment, effects);
    return;
  }
  if (IsJobRunning(job) && job.inherited_task_deadline <= moment.now) {
    job.inherited_task_deadline = base::TimePoint::max();
    if (job.tasks.has_inherited_tasks()) {
      this->BeginEndingJob(
          shard, job,
          MakeError(base::ErrorCode::kUnavailable,
                    "the job's entry host was lost while tasks may have been running"),
          moment, effects);
      return;
    }
  }
  if (IsJobRunning(job) && job.placement_retry_at <= moment.now) {
    this->RetryPlacements(shard, job, moment, effects);
  }
  if (job.phase == Phase::kRecordingOutcome && job.outcome_record_deadline <= moment.now) {
    job.outcome_record_deadline = base::TimePoint::max();
    job.was_answered_unrecorded = true;
    QueueJobResult(job, false, effects);
  }
  if (job.outstanding_record && job.outstanding_record->resend_at <= moment.now) {
    this->SendOutstandingRecord(job, moment.now, effects);
  }
  this->AdvanceJob(shard, job, moment, effects);
}

void JobCoordinator::BeginEndingJob(Shard& shard, Job& job, std::optional<base::Error> error,
                                    const CallContext& moment, Effects& effects) {
  WithdrawOutstandingRecord(job, moment.now);
  RemoveFromRunningJobs(shard, job);
  for (base::TaskIndex index : job.tasks.EndUnfinishedTasks()) {
    effects.tasks_to_cancel.push_back(MakeTaskStart(job, index));
  }
  job.succeeded = !error;
  job.error = error.value_or(base::Error());
  job.phase = Phase::kRecordingOutcome;
  job.outcome_record_deadline =
      moment.now + (job.succeeded ? this->settings.success_record_timeout
                                  : this->settings.failure_record_timeout);
  this->AdvanceJob(shard, job, moment, effects);
  this->ScheduleTimer(shard, job);
}

void JobCoordinator::FinishEndingJob(Shard& shard, Job& job, base::TimePoint now,
                                     Effects& effects) {
  this->RetainEndedJob(shard, job, now);
  QueueJobResult(job, true, effects);
}

void JobCoordinator::RetainEndedJob(Shard& shard, Job& job, base::TimePoint now) {
  job.phase = Phase::kEnded;
  job.ended_at = now;
  job.submission.reset();
  job.outstanding_record.reset();
  job.accepted_callbacks.clear();
  shard.ended_jobs.emplace_back(now, job.id);
}

void JobCoordinator::EvictEndedJobs(Shard& shard, base::TimePoint now) {
  size_t limit = this->settings.maximum_ended_jobs / this->settings.shard_count;
  while (!shard.ended_jobs.empty()) {
    bool old = shard.ended_jobs.front().first + this->settings.ended_job_retention <= now;
    bool too_many = shard.ended_jobs.size() > limit;
    if (!old && !too_many) {
      return;
    }
    auto found = shard.jobs.find(shard.ended_jobs.front().second);
    if (!old) {
      // The creation time of a resubmission is measured again, with another error.
      base::TimePoint bound = found->second->created_at + 2 * this->settings.maximum_clock_skew;
      shard.evicted_creation_bound = std::max(shard.evicted_creation_bound, bound);
    }
    shard.jobs.erase(found);
    shard.ended_jobs.pop_front();
  }
}

void JobCoordinator::ScheduleTimer(Shard& shard, Job& job) const {
  base::TimePoint due = this->NextTimerTime(job);
  if (due == job.timer_time) {
    return;
  }
  if (job.timer_time != base::TimePoint::max()) {
    shard.timers.erase({job.timer_time, &job});
  }
  job.timer_time = due;
  if (due != base::TimePoint::max()) {
    shard.timers.insert({due, &job});
  }
}

base::TimePoint JobCoordinator::NextTimerTime(const Job& job) const {
  if (job.phase == Phase::kEnded) {
    return base::TimePoint::max();
  }
  if (!this->IsJobOwner(job)) {
    return job.deadline + this->settings.ended_job_retention;
  }
  base::TimePoint due = job.advance_retry_at;
  if (job.outstanding_record) {
    due = std::min(due, job.outstanding_record->resend_at);
  } else if (job.tasks.has_unrecorded_results()) {
    due = std::min(due, job.record_results_at);
  }
  if (job.phase == Phase::kRecordingOutcome) {
    return std::min(due, job.outcome_record_deadline);
  }
  return std::min({due, job.deadline, job.inherited_task_deadline, job.placement_retry_at});
}

void JobCoordinator::DropJob(Shard& shard, Job& job, Effects& effects) {
  if (!job.result_callbacks.empty()) {
    job.tasks.EndUnfinishedTasks();
    job.error = MakeError(base::ErrorCode::kFenced, "the job went to another entry host");
    job.owner = MembershipView::Member();
    QueueJobResult(job, false, effects);
  }
  EraseJob(shard, job);
}

void JobCoordinator::EraseJob(Shard& shard, Job& job) {
  RemoveFromRunningJobs(shard, job);
  shard.timers.erase({job.timer_time, &job});
  const base::SubmissionId id = job.id;
  shard.jobs.erase(id);
}

void JobCoordinator::AddToRunningJobs(Shard& shard, Job& job) {
  shard.running_jobs[job.team].insert(&job);
}

void JobCoordinator::RemoveFromRunningJobs(Shard& shard, Job& job) {
  auto found = shard.running_jobs.find(job.team);
  if (found == shard.running_jobs.end()) {
    return;
  }
  found->second.erase(&job);
  if (found->second.empty()) {
    shard.running_jobs.erase(found);
  }
}

void JobCoordinator::QueueJobResult(Job& job, bool certain, Effects& effects) {
  if (job.result_callbacks.empty()) {
    return;
  }
  ResultDelivery answers;
  answers.result = std::make_shared<JobResult>(MakeJobResult(job, certain));
  answers.callbacks.swap(job.result_callbacks);
  effects.result_deliveries.push_back(std::move(answers));
}

JobResult JobCoordinator::MakeJobResult(const Job& job, bool certain) {
  JobResult answer;
  answer.succeeded = job.succeeded;
  answer.error = job.error;
  if (answer.error.code == base::ErrorCode::kFenced) {
    answer.owner = job.owner.host;
  }
  answer.task_results = job.tasks.Results(certain);
  answer.error.verdict = answer.task_results.front().verdict;
  for (const TaskResult& result : answer.task_results) {
    answer.error.verdict = base::CombineVerdicts(answer.error.verdict, result.verdict);
  }
  return answer;
}

TaskStart JobCoordinator::MakeTaskStart(const Job& job, base::TaskIndex index) {
  TaskStart start;
  start.epoch = job.tasks.PlacementEpochOf(index);
  start.key.submission = job.id;
  start.key.index = index;
  start.placement = job.tasks.PlacementOf(index);
  start.submission = job.submission;
  start.deadline = job.deadline;
  return start;
}

void JobCoordinator::ApplyEffects(const Effects& effects) {
  for (const auto& [host, record] : effects.records_to_send) {
    this->hooks.send_record(host, *record);
  }
  for (const std::shared_ptr<const JobRecord>& record : effects.records_to_write) {
    this->hooks.write_record_to_disk(
        *record, [this, record](bool ok) { this->OnRecordWritten(*record, ok); });
  }
  if (!effects.tasks_to_start.empty()) {
    this->hooks.start_tasks(effects.tasks_to_start);
  }
  if (!effects.tasks_to_cancel.empty()) {
    this->hooks.cancel_tasks(effects.tasks_to_cancel);
  }
  for (const AcceptedCallback& on_accepted : effects.accepted_callbacks) {
    on_accepted();
  }
  for (const ResultDelivery& answers : effects.result_deliveries) {
    for (const ResultCallback& on_answer : answers.callbacks) {
      on_answer(*answers.result);
    }
  }
}

}  // namespace sapphirecrank::jobs
