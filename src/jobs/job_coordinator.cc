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
  JobResult job_result;
  for (size_t position = 0; position < submission.tasks.size(); ++position) {
    TaskResult result;
    result.index = base::TaskIndex(static_cast<base::TaskIndex::ValueType>(position));
    result.verdict = error.verdict;
    job_result.task_results.push_back(std::move(result));
  }
  job_result.error = std::move(error);
  return job_result;
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
  CallContext context = this->CaptureCallContext();
  auto view_history = std::make_shared<ViewHistory>(*this->latest_view_history);
  view_history->AddView(view, context.now,
                        this->settings.maximum_new_submission_age +
                            this->settings.view_transition_time +
                            2 * this->settings.maximum_clock_skew);
  this->InstallView(view_history, context);
}

void JobCoordinator::OnHostRestart(const MembershipView::Member& member) {
  if (member.host == this->self.host || !this->latest_view_history->HasOtherIncarnationOf(member)) {
    return;
  }
  auto view_history = std::make_shared<ViewHistory>(*this->latest_view_history);
  view_history->ReplaceMember(member);
  this->InstallView(view_history, this->CaptureCallContext());
}

void JobCoordinator::Submit(std::shared_ptr<const Submission> submission, ResultCallback on_result,
                            AcceptedCallback on_accepted) {
  const base::SubmissionId id = submission->id;
  SubmitRequest request;
  request.content_hash = ContentHash(*submission);
  request.submission_age = this->hooks.submission_age(id);
  request.may_run_unreplicated =
      this->hooks.may_run_unreplicated && this->hooks.may_run_unreplicated(*submission);
  request.submission = std::move(submission);
  request.on_result = std::move(on_result);
  request.on_accepted = std::move(on_accepted);
  CallContext context = this->CaptureCallContext();
  Effects effects;
  this->shards.WithShard(
      id, [&](Shard& shard) { this->AddOrJoinJob(shard, request, context, effects); });
  this->ApplyEffects(effects);
}

void JobCoordinator::OnJobRecord(const base::HostId& from, const JobRecord& record) {
  IncomingRecord incoming{record, 0, std::nullopt};
  if (record.submission) {
    incoming.content_hash = ContentHash(*record.submission);
    incoming.submission_age = this->hooks.submission_age(record.id);
  }
  CallContext context = this->CaptureCallContext();
  RecordAck ack;
  ack.owner_incarnation = record.owner.incarnation;
  ack.sequence_number = record.sequence_number;
  ack.id = record.id;
  this->shards.WithShard(record.id, [&](Shard& shard) {
    ack.epoch = shard.view_history->current_epoch();
    ack.outcome = this->StoreRecord(shard, incoming, context);
    if (ack.outcome == RecordAck::Outcome::kPossibleDuplicate) {
      ack.known_owner = this->KnownOwner(shard, record.id);
    }
  });
  this->hooks.send_record_ack(from, ack);
}

void JobCoordinator::OnRecordAck(const base::HostId& from, const RecordAck& ack) {
  CallContext context = this->CaptureCallContext();
  Effects effects;
  this->shards.WithShard(ack.id, [&](Shard& shard) {
    auto found = shard.jobs.find(ack.id);
    // Without a view lease the acknowledgement is ignored, and the record is sent again.
    if (found == shard.jobs.end() || !context.has_view_lease) {
      return;
    }
    Job& job = *found->second;
    bool is_current = this->IsJobOwner(job) && job.outstanding_record &&
                      ack.epoch == shard.view_history->current_epoch() &&
                      ack.owner_incarnation == this->self.incarnation && from == job.backup.host &&
                      ack.sequence_number == job.outstanding_record->record->sequence_number;
    if (!is_current) {
      return;
    }
    if (ack.outcome == RecordAck::Outcome::kStored) {
      this->OnRecordStored(shard, job, context, effects);
    } else if (ack.outcome == RecordAck::Outcome::kUnknownJob) {
      WithdrawOutstandingRecord(job, context.now);
      job.has_full_backup = false;
      job.tasks.MarkAllResultsUnrecorded();
      this->AdvanceJob(shard, job, context, effects);
    } else if (ack.outcome == RecordAck::Outcome::kPossibleDuplicate) {
      RejectDuplicateJob(shard, job, ack.known_owner, effects);
      return;
    }
    this->ScheduleTimer(shard, job);
  });
  this->ApplyEffects(effects);
}

bool JobCoordinator::OnTaskReport(const TaskReport& report) {
  CallContext context = this->CaptureCallContext();
  Effects effects;
  bool is_applied = this->shards.WithShard(report.key.submission, [&](Shard& shard) {
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
    this->ApplyReportOutcome(shard, job, report, outcome, context, effects);
    this->ScheduleTimer(shard, job);
    return true;
  });
  this->ApplyEffects(effects);
  return is_applied;
}

bool JobCoordinator::CancelJob(const base::SubmissionId& id) {
  CallContext context = this->CaptureCallContext();
  Effects effects;
  bool is_cancelled = this->shards.WithShard(id, [&](Shard& shard) {
    auto found = shard.jobs.find(id);
    if (found == shard.jobs.end() || !this->IsJobOwner(*found->second) ||
        !IsJobRunning(*found->second)) {
      return false;
    }
    this->BeginEndingJob(shard, *found->second,
                         MakeError(base::ErrorCode::kCancelled, "the job was cancelled"), context,
                         effects);
    return true;
  });
  this->ApplyEffects(effects);
  return is_cancelled;
}

size_t JobCoordinator::CancelJobsOfTeam(const base::TeamId& team) {
  CallContext context = this->CaptureCallContext();
  size_t cancelled_count = 0;
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
            MakeError(base::ErrorCode::kCancelled, "all jobs of the team were cancelled"), context,
            effects);
      }
      cancelled_count += jobs.size();
    });
    this->ApplyEffects(effects);
  }
  return cancelled_count;
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
  CallContext context = this->CaptureCallContext();
  for (size_t i = 0; i < this->shards.shard_count(); ++i) {
    Effects effects;
    this->shards.WithShardAt(i, [&](Shard& shard) {
      std::vector<Job*> due_jobs;
      for (auto it = shard.timers.begin(); it != shard.timers.end() && it->first <= context.now;
           ++it) {
        due_jobs.push_back(it->second);
      }
      for (Job* job : due_jobs) {
        this->OnJobTimer(shard, *job, context, effects);
      }
      this->EvictEndedJobs(shard, context.now);
    });
    this->ApplyEffects(effects);
  }
}

JobCoordinator::CallContext JobCoordinator::CaptureCallContext() const {
  CallContext context;
  context.now = this->hooks.now();
  const base::Result<void> lease = this->hooks.check_view_lease();
  context.has_view_lease = lease.has_value();
  if (!lease) {
    context.lease_error = lease.error().message;
  }
  return context;
}

base::TimePoint JobCoordinator::EarliestCreationTime(std::optional<base::Duration> age,
                                                     base::TimePoint now) const {
  return now - age.value_or(base::Duration(0)) - this->settings.maximum_clock_skew;
}

bool JobCoordinator::IsJobRunning(const Job& job) {
  return job.phase == Phase::kRecordingSubmission || job.phase == Phase::kRunning;
}

bool JobCoordinator::IsJobOwner(const Job& job) const { return job.owner == this->self; }

void JobCoordinator::AddOrJoinJob(Shard& shard, SubmitRequest& request, const CallContext& context,
                                  Effects& effects) {
  auto found = shard.jobs.find(request.submission->id);
  if (found != shard.jobs.end()) {
    this->JoinJob(*found->second, request, effects);
    return;
  }
  base::Result<void> validation = this->ValidateNewSubmission(shard, request, context);
  if (validation) {
    this->AddNewJob(shard, request, context, effects);
    return;
  }
  JobResult job_result = RejectedJobResult(*request.submission, validation.error());
  if (job_result.error.code == base::ErrorCode::kFenced) {
    job_result.owner = shard.view_history->ReplicaHostsOf(request.submission->id).owner;
  }
  ResultDelivery delivery;
  delivery.result = std::make_shared<JobResult>(std::move(job_result));
  delivery.callbacks.push_back(std::move(request.on_result));
  effects.result_deliveries.push_back(std::move(delivery));
}

void JobCoordinator::JoinJob(Job& job, SubmitRequest& request, Effects& effects) const {
  std::optional<JobResult> job_result;
  if (job.phase != Phase::kEnded && !this->IsJobOwner(job)) {
    base::Error error = MakeError(base::ErrorCode::kFenced,
                                  "the job belongs to entry host " + job.owner.host.value());
    error.verdict = base::ExecutionVerdict::kMayHaveRun;
    job_result = RejectedJobResult(*request.submission, std::move(error));
    job_result->owner = job.owner.host;
  } else if (job.content_hash != request.content_hash) {
    base::Error error = MakeError(base::ErrorCode::kConflict,
                                  "the id was used before for a submission with different content");
    error.field = "id";
    job_result = RejectedJobResult(*request.submission, std::move(error));
  } else if (job.phase == Phase::kEnded || job.was_answered_unrecorded) {
    job_result = MakeJobResult(job, job.phase == Phase::kEnded);
  }
  if (job_result) {
    ResultDelivery delivery;
    delivery.result = std::make_shared<JobResult>(std::move(*job_result));
    delivery.callbacks.push_back(std::move(request.on_result));
    effects.result_deliveries.push_back(std::move(delivery));
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

void JobCoordinator::AddNewJob(Shard& shard, SubmitRequest& request, const CallContext& context,
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
  job.created_at = this->EarliestCreationTime(request.submission_age, context.now);
  job.requires_uniqueness_check = !shard.view_history->WasReplicaHostSince(job.id, job.created_at);
  job.deadline = context.now + submission.time_left;
  job.result_callbacks.push_back(std::move(request.on_result));
  if (request.on_accepted) {
    job.accepted_callbacks.push_back(std::move(request.on_accepted));
  }
  job.submission = std::move(request.submission);
  AddToRunningJobs(shard, job);
  this->AdvanceJob(shard, job, context, effects);
  this->ScheduleTimer(shard, job);
}

base::Result<void> JobCoordinator::ValidateNewSubmission(const Shard& shard,
                                                         const SubmitRequest& request,
                                                         const CallContext& context) const {
  if (!request.submission_age) {
    return base::MakeErrorResult(base::ErrorCode::kInvalidArgument,
                                 "the id contains no creation time", "id");
  }
  base::Result<void> id_validation = this->ValidateUnknownId(shard, request, context.now);
  if (!id_validation) {
    return id_validation;
  }
  if (!context.has_view_lease) {
    return base::MakeErrorResult(base::ErrorCode::kUnavailable, context.lease_error, "",
                                 base::ExecutionVerdict::kMayHaveRun);
  }
  if (shard.view_history->ReplicaHostsOf(request.submission->id).owner != this->self.host) {
    return base::MakeErrorResult(base::ErrorCode::kFenced, "the id belongs to another entry host",
                                 "id", base::ExecutionVerdict::kMayHaveRun);
  }
  base::Result<void> content_validation = this->ValidateContent(*request.submission);
  if (!content_validation) {
    return content_validation;
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
  base::TimePoint created_at = this->EarliestCreationTime(request.submission_age, now);
  if (*request.submission_age > this->settings.maximum_new_submission_age ||
      created_at <= shard.evicted_creation_bound) {
    return base::MakeErrorResult(base::ErrorCode::kExpired, "the id has expired", "id",
                                 may_have_run);
  }
  bool has_backup = shard.view_history->current_host_count() > 1;
  if (!has_backup && !shard.view_history->WasReplicaHostSince(request.submission->id, created_at)) {
    return tl::make_unexpected(PossibleDuplicateError());
  }
  return {};
}

base::Result<void> JobCoordinator::ValidateContent(const Submission& submission) const {
  if (submission.tasks.empty()) {
    return base::MakeErrorResult(base::ErrorCode::kInvalidArgument, "the job has no tasks",
                                 "tasks");
  }
  if (submission.tasks.size() > this->settings.maximum_tasks_per_job) {
    return base::MakeErrorResult(
        base::ErrorCode::kTooLarge,
        "a job can have at most " + std::to_string(this->settings.maximum_tasks_per_job) + " tasks",
        "tasks");
  }
  if (submission.time_left <= base::Duration(0)) {
    return base::MakeErrorResult(base::ErrorCode::kDeadlineExceeded, "the deadline has passed");
  }
  return {};
}

bool JobCoordinator::IsBackupRecordOfView(const ViewHistory& view_history,
                                          const JobRecord& record) const {
  return record.epoch == view_history.current_epoch() && view_history.ContainsSelf() &&
         view_history.ContainsMember(record.owner) && record.owner != this->self;
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
                                               const CallContext& context) {
  const JobRecord& record = incoming.record;
  if (!context.has_view_lease || !this->IsBackupRecordOfView(*shard.view_history, record)) {
    return RecordAck::Outcome::kFenced;
  }
  auto found = shard.jobs.find(record.id);
  if (found == shard.jobs.end()) {
    if (!record.submission) {
      return RecordAck::Outcome::kUnknownJob;
    }
    base::TimePoint created_at = this->EarliestCreationTime(incoming.submission_age, context.now);
    bool is_new = created_at > shard.evicted_creation_bound &&
                  shard.view_history->WasReplicaHostSince(record.id, created_at);
    if (record.requires_uniqueness_check && !is_new) {
      return RecordAck::Outcome::kPossibleDuplicate;
    }
    this->MergeIntoBackupCopy(shard, this->AddBackupCopy(shard, incoming, context.now), record,
                              context.now);
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
  this->MergeIntoBackupCopy(shard, job, record, context.now);
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

void JobCoordinator::InstallView(const std::shared_ptr<const ViewHistory>& view_history,
                                 const CallContext& context) {
  this->latest_view_history = view_history;
  for (size_t i = 0; i < this->shards.shard_count(); ++i) {
    Effects effects;
    this->shards.WithShardAt(
        i, [&](Shard& shard) { this->InstallViewInShard(shard, view_history, context, effects); });
    this->ApplyEffects(effects);
  }
}

void JobCoordinator::InstallViewInShard(Shard& shard,
                                        const std::shared_ptr<const ViewHistory>& view_history,
                                        const CallContext& context, Effects& effects) {
  bool is_contiguous = view_history->IsContiguousWith(shard.view_history->current_epoch());
  shard.view_history = view_history;
  std::vector<Job*> jobs;
  for (auto& [id, job] : shard.jobs) {
    if (job->phase != Phase::kEnded) {
      jobs.push_back(job.get());
    }
  }
  for (Job* job : jobs) {
    if (!is_contiguous || !this->JobSurvivesView(*view_history, *job)) {
      DropJob(shard, *job, effects);
    } else if (this->IsJobOwner(*job)) {
      this->RetainOwnedJob(shard, *job, context, effects);
    } else if (!view_history->ContainsMember(job->owner)) {
      this->TakeOverJob(shard, *job, context, effects);
    }
  }
}

bool JobCoordinator::JobSurvivesView(const ViewHistory& view_history, const Job& job) const {
  if (!view_history.ContainsSelf()) {
    return false;
  }
  return !(job.requires_uniqueness_check && view_history.current_host_count() == 1);
}

void JobCoordinator::RetainOwnedJob(Shard& shard, Job& job, const CallContext& context,
                                    Effects& effects) {
  WithdrawOutstandingRecord(job, context.now);
  if (!shard.view_history->ContainsMember(job.backup)) {
    job.backup = shard.view_history->BackupFor(job.id, this->self.host);
    job.has_full_backup = false;
    job.tasks.MarkAllResultsUnrecorded();
  }
  this->AdvanceJob(shard, job, context, effects);
  this->ScheduleTimer(shard, job);
}

void JobCoordinator::TakeOverJob(Shard& shard, Job& job, const CallContext& context,
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
                         context, effects);
    return;
  }
  if (job.tasks.all_tasks_succeeded()) {
    this->BeginEndingJob(shard, job, std::nullopt, context, effects);
    return;
  }
  if (job.tasks.has_inherited_tasks()) {
    job.inherited_task_deadline = context.now + this->settings.inherited_task_timeout;
  }
  this->AdvanceJob(shard, job, context, effects);
  this->ScheduleTimer(shard, job);
}

void JobCoordinator::AdvanceJob(Shard& shard, Job& job, const CallContext& context,
                                Effects& effects) {
  if (job.phase == Phase::kEnded || job.outstanding_record) {
    return;
  }
  if (job.phase == Phase::kRecordingOutcome && job.backup.host.empty()) {
    // No other host has a valid copy, so no other host can start a task of this job.
    if (this->hooks.write_record_to_disk) {
      effects.records_to_write.push_back(this->BuildJobRecord(shard, job, {}, context.now));
    }
    this->FinishEndingJob(shard, job, context.now, effects);
    return;
  }
  job.advance_retry_at = base::TimePoint::max();
  std::vector<base::TaskIndex> started_tasks;
  if (IsJobRunning(job) && context.has_view_lease) {
    started_tasks = job.tasks.TakeTasksToStart(this->settings.maximum_in_flight_tasks);
  } else if (IsJobRunning(job) && job.tasks.has_waiting_tasks()) {
    job.advance_retry_at = context.now + this->settings.record_resend_delay;
  }
  if (!started_tasks.empty() || JobNeedsRecord(job, context.now)) {
    this->SendJobRecord(shard, job, std::move(started_tasks), context, effects);
  }
}

bool JobCoordinator::JobNeedsRecord(const Job& job, base::TimePoint now) {
  bool are_results_due = job.tasks.has_unrecorded_results() && job.record_results_at <= now;
  return !job.has_full_backup || job.phase == Phase::kRecordingOutcome || are_results_due;
}

std::shared_ptr<const JobRecord> JobCoordinator::BuildJobRecord(
    const Shard& shard, Job& job, std::vector<base::TaskIndex> started_tasks, base::TimePoint now) {
  auto record = std::make_shared<JobRecord>();
  record->epoch = shard.view_history->current_epoch();
  record->owner = this->self;
  record->sequence_number = base::SequenceNumber(this->next_sequence_number++);
  record->ownership_sequence_number = job.ownership_sequence_number;
  record->id = job.id;
  record->requires_uniqueness_check = job.requires_uniqueness_check;
  record->time_left = job.deadline - now;
  record->started_tasks = std::move(started_tasks);
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

void JobCoordinator::SendJobRecord(Shard& shard, Job& job,
                                   std::vector<base::TaskIndex> started_tasks,
                                   const CallContext& context, Effects& effects) {
  OutstandingRecord outstanding;
  outstanding.record = this->BuildJobRecord(shard, job, std::move(started_tasks), context.now);
  job.outstanding_record = std::move(outstanding);
  if (!job.backup.host.empty()) {
    this->SendOutstandingRecord(job, context.now, effects);
  } else if (this->hooks.write_record_to_disk) {
    job.outstanding_record->resend_at = base::TimePoint::max();
    effects.records_to_write.push_back(job.outstanding_record->record);
  } else {
    this->OnRecordStored(shard, job, context, effects);
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

void JobCoordinator::OnRecordStored(Shard& shard, Job& job, const CallContext& context,
                                    Effects& effects) {
  std::shared_ptr<const JobRecord> record = job.outstanding_record->record;
  job.outstanding_record.reset();
  job.has_full_backup = true;
  job.requires_uniqueness_check = false;
  if (record->has_ended) {
    this->FinishEndingJob(shard, job, context.now, effects);
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
  this->AdvanceJob(shard, job, context, effects);
}

void JobCoordinator::OnRecordWritten(const JobRecord& record, bool is_written) {
  CallContext context = this->CaptureCallContext();
  Effects effects;
  this->shards.WithShard(record.id, [&](Shard& shard) {
    auto found = shard.jobs.find(record.id);
    if (found == shard.jobs.end()) {
      return;
    }
    Job& job = *found->second;
    bool is_current = this->IsJobOwner(job) && job.outstanding_record &&
                      job.outstanding_record->record->sequence_number == record.sequence_number &&
                      record.epoch == shard.view_history->current_epoch();
    if (!is_current) {
      return;
    }
    if (is_written && context.has_view_lease) {
      this->OnRecordStored(shard, job, context, effects);
    } else if (job.phase == Phase::kRecordingSubmission) {
      this->BeginEndingJob(
          shard, job,
          MakeError(base::ErrorCode::kStorageFailed, "the job could not be written to disk"),
          context, effects);
    } else {
      WithdrawOutstandingRecord(job, context.now);
      job.advance_retry_at = context.now + this->settings.record_resend_delay;
    }
    this->ScheduleTimer(shard, job);
  });
  this->ApplyEffects(effects);
}

void JobCoordinator::ApplyReportOutcome(Shard& shard, Job& job, const TaskReport& report,
                                        TaskTable::ReportOutcome outcome,
                                        const CallContext& context, Effects& effects) {
  if (outcome == TaskTable::ReportOutcome::kRetryPlacement) {
    uint32_t doublings = std::min(report.placement.value() - 1, kMaximumDelayDoublings);
    base::TimePoint retry_at =
        context.now + this->settings.placement_retry_delay * (1 << doublings);
    job.placement_retry_at = std::min(job.placement_retry_at, retry_at);
    return;
  }
  if (outcome == TaskTable::ReportOutcome::kFailed) {
    this->BeginEndingJob(shard, job, TaskFailureError(report), context, effects);
    return;
  }
  if (job.tasks.all_tasks_succeeded()) {
    this->BeginEndingJob(shard, job, std::nullopt, context, effects);
    return;
  }
  base::TimePoint record_by = context.now + this->settings.result_batch_delay;
  job.record_results_at = std::min(job.record_results_at, record_by);
  this->AdvanceJob(shard, job, context, effects);
}

void JobCoordinator::RetryPlacements(const Shard& shard, Job& job, const CallContext& context,
                                     Effects& effects) const {
  if (!context.has_view_lease || !job.has_full_backup) {
    job.placement_retry_at = context.now + this->settings.placement_retry_delay;
    return;
  }
  job.placement_retry_at = base::TimePoint::max();
  for (base::TaskIndex index : job.tasks.RetryPlacements(shard.view_history->current_epoch())) {
    effects.tasks_to_start.push_back(MakeTaskStart(job, index));
  }
}

void JobCoordinator::OnJobTimer(Shard& shard, Job& job, const CallContext& context,
                                Effects& effects) {
  if (!this->IsJobOwner(job)) {
    // The owner records the outcome soon after the deadline, so this copy is stale.
    EraseJob(shard, job);
    return;
  }
  this->OnOwnedJobTimer(shard, job, context, effects);
  this->ScheduleTimer(shard, job);
}

void JobCoordinator::OnOwnedJobTimer(Shard& shard, Job& job, const CallContext& context,
                                     Effects& effects) {
  if (IsJobRunning(job) && job.deadline <= context.now) {
    this->BeginEndingJob(shard, job,
                         MakeError(base::ErrorCode::kDeadlineExceeded, "the deadline has passed"),
                         context, effects);
    return;
  }
  if (IsJobRunning(job) && job.inherited_task_deadline <= context.now) {
    job.inherited_task_deadline = base::TimePoint::max();
    if (job.tasks.has_inherited_tasks()) {
      this->BeginEndingJob(
          shard, job,
          MakeError(base::ErrorCode::kUnavailable,
                    "the job's entry host was lost while tasks may have been running"),
          context, effects);
      return;
    }
  }
  if (IsJobRunning(job) && job.placement_retry_at <= context.now) {
    this->RetryPlacements(shard, job, context, effects);
  }
  if (job.phase == Phase::kRecordingOutcome && job.outcome_record_deadline <= context.now) {
    job.outcome_record_deadline = base::TimePoint::max();
    job.was_answered_unrecorded = true;
    QueueJobResult(job, false, effects);
  }
  if (job.outstanding_record && job.outstanding_record->resend_at <= context.now) {
    this->SendOutstandingRecord(job, context.now, effects);
  }
  this->AdvanceJob(shard, job, context, effects);
}

void JobCoordinator::BeginEndingJob(Shard& shard, Job& job, std::optional<base::Error> error,
                                    const CallContext& context, Effects& effects) {
  WithdrawOutstandingRecord(job, context.now);
  RemoveFromRunningJobs(shard, job);
  for (base::TaskIndex index : job.tasks.EndUnfinishedTasks()) {
    effects.tasks_to_cancel.push_back(MakeTaskStart(job, index));
  }
  job.succeeded = !error;
  job.error = error.value_or(base::Error());
  job.phase = Phase::kRecordingOutcome;
  job.outcome_record_deadline =
      context.now + (job.succeeded ? this->settings.success_record_timeout
                                   : this->settings.failure_record_timeout);
  this->AdvanceJob(shard, job, context, effects);
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
  size_t shard_limit = this->settings.maximum_ended_jobs / this->settings.shard_count;
  while (!shard.ended_jobs.empty()) {
    bool is_expired = shard.ended_jobs.front().first + this->settings.ended_job_retention <= now;
    bool exceeds_limit = shard.ended_jobs.size() > shard_limit;
    if (!is_expired && !exceeds_limit) {
      return;
    }
    auto found = shard.jobs.find(shard.ended_jobs.front().second);
    if (!is_expired) {
      // The creation time of a resubmission is computed again, with another clock error.
      base::TimePoint bound = found->second->created_at + 2 * this->settings.maximum_clock_skew;
      shard.evicted_creation_bound = std::max(shard.evicted_creation_bound, bound);
    }
    shard.jobs.erase(found);
    shard.ended_jobs.pop_front();
  }
}

void JobCoordinator::ScheduleTimer(Shard& shard, Job& job) const {
  base::TimePoint next_time = this->NextTimerTime(job);
  if (next_time == job.timer_time) {
    return;
  }
  if (job.timer_time != base::TimePoint::max()) {
    shard.timers.erase({job.timer_time, &job});
  }
  job.timer_time = next_time;
  if (next_time != base::TimePoint::max()) {
    shard.timers.insert({next_time, &job});
  }
}

base::TimePoint JobCoordinator::NextTimerTime(const Job& job) const {
  if (job.phase == Phase::kEnded) {
    return base::TimePoint::max();
  }
  if (!this->IsJobOwner(job)) {
    return job.deadline + this->settings.ended_job_retention;
  }
  base::TimePoint next_time = job.advance_retry_at;
  if (job.outstanding_record) {
    next_time = std::min(next_time, job.outstanding_record->resend_at);
  } else if (job.tasks.has_unrecorded_results()) {
    next_time = std::min(next_time, job.record_results_at);
  }
  if (job.phase == Phase::kRecordingOutcome) {
    return std::min(next_time, job.outcome_record_deadline);
  }
  return std::min({next_time, job.deadline, job.inherited_task_deadline, job.placement_retry_at});
}

void JobCoordinator::DropJob(Shard& shard, Job& job, Effects& effects) {
  if (!job.result_callbacks.empty()) {
    job.tasks.EndUnfinishedTasks();
    job.error = MakeError(base::ErrorCode::kFenced,
                          "the job was dropped because another entry host may own it");
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

void JobCoordinator::QueueJobResult(Job& job, bool is_outcome_recorded, Effects& effects) {
  if (job.result_callbacks.empty()) {
    return;
  }
  ResultDelivery delivery;
  delivery.result = std::make_shared<JobResult>(MakeJobResult(job, is_outcome_recorded));
  delivery.callbacks.swap(job.result_callbacks);
  effects.result_deliveries.push_back(std::move(delivery));
}

JobResult JobCoordinator::MakeJobResult(const Job& job, bool is_outcome_recorded) {
  JobResult job_result;
  job_result.succeeded = job.succeeded;
  job_result.error = job.error;
  if (job_result.error.code == base::ErrorCode::kFenced) {
    job_result.owner = job.owner.host;
  }
  job_result.task_results = job.tasks.Results(is_outcome_recorded);
  job_result.error.verdict = job_result.task_results.front().verdict;
  for (const TaskResult& result : job_result.task_results) {
    job_result.error.verdict = base::CombineVerdicts(job_result.error.verdict, result.verdict);
  }
  return job_result;
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
        *record, [this, record](bool is_written) { this->OnRecordWritten(*record, is_written); });
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
  for (const ResultDelivery& delivery : effects.result_deliveries) {
    for (const ResultCallback& on_result : delivery.callbacks) {
      on_result(*delivery.result);
    }
  }
}

}  // namespace sapphirecrank::jobs
