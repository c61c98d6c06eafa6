#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/result.h"
#include "base/sharded.h"
#include "base/time.h"
#include "jobs/job_coordinator_settings.h"
#include "jobs/job_record.h"
#include "jobs/job_result.h"
#include "jobs/job_status.h"
#include "jobs/membership_view.h"
#include "jobs/record_ack.h"
#include "jobs/replica_hosts.h"
#include "jobs/task_report.h"
#include "jobs/task_start.h"
#include "jobs/task_table.h"
#include "jobs/view_history.h"

namespace sapphirecrank::jobs {

struct Submission;

/// Accepts submissions, decides which of their tasks may start, and answers them, on one entry host
/// of a data centre; also keeps copies of jobs that other hosts own.
///
/// Ownership. The first host in an id's order of preference accepts it as new, with the second one
/// as its backup. From then on the job stays with this owner and this backup while they are in the
/// view, also if hosts join that come first in the order, so that no copy is without a successor
/// while another host joins. If the backup is not in a view, the owner copies the job to the first
/// other host of the order. If the owner is not in a view, its backup owns the job. A copy counts
/// only while its host is in each view; otherwise it is dropped, because another backup may have
/// been told of starts since. A host that misses a view therefore drops all jobs that have not
/// ended, and so does a host that is not in the view. All hosts must be given the same views.
/// Copies of ended jobs are not renewed.
///
/// Starts. A task is given to `start_tasks` only after the backup has acknowledged its start
/// record in the epoch in force, or, in a view of one host, after a disk has. A backup refuses
/// records of other epochs than its own. Once the backup has learned of the next view it
/// acknowledges nothing of the old one, so a new owner knows each task that the old one can ever
/// start, and never starts it again.
///
/// Unknown ids. An id carries the time of its creation. An unknown id is accepted as new only if
/// the accepting host or its backup was owner or backup of the id in each view in which it can have
/// been accepted: the views in force since its creation, each counted until `view_transition_time`
/// after the next one, when the last lease under it has ended. An acceptance needs both owner and
/// backup, so such a host would know the id. A host that has just joined thus asks its backup, with
/// the first record; if the backup knows the job, the refusal names the owner. Any other unknown id
/// is refused with "may have run"; this covers the loss of
/// both copies. An unknown id older than `maximum_new_submission_age` is refused as expired with
/// "may have run". Ended jobs are remembered for longer than that, so the answer stays true after
/// everything about an id was forgotten. When more than `maximum_ended_jobs` jobs have ended, the
/// oldest are forgotten early, and unknown ids created before a forgotten one are refused as
/// expired.
///
/// Answers. A job is complete once each task ran with success. It fails with the first task that
/// can't succeed, by its deadline, or by cancellation; then no further task starts. Callers are
/// answered once the end is recorded, so that a new owner can neither start a task that was called
/// "not run" nor give another answer. If the record isn't acknowledged in time, the answer is given
/// without it, with "may have run" in place of "not run".
///
/// State is sharded by submission id, each shard under its own lock. Hooks run after the lock is
/// released, on the thread that made the change, except where noted. Thread safety: all methods may
/// be called from any thread, also from a hook.
class JobCoordinator {
 public:
  using ResultCallback = std::function<void(const JobResult&)>;
  using AcceptedCallback = std::function<void()>;

  /// Behaviour handed in. Hooks not marked optional must be set.
  struct Hooks {
    /// Current time.
    base::Clock now;
    /// Tells whether this host's view lease runs. Without it nothing is started or accepted.
    std::function<base::Result<void>()> check_view_lease;
    /// Returns an id's first two hosts in the order of preference. Must be pure, and a member's
    /// place before another must not depend on the other members; called under a lock.
    ViewHistory::ReplicaHostSelector select_replica_hosts;
    /// Returns the time since an id was created, by the clock of the day, or nothing if the id
    /// carries no time. Must be pure but for the clock.
    std::function<std::optional<base::Duration>(const base::SubmissionId&)> submission_age;
    /// Sends a record to a backup, which hands it to `OnJobRecord`. May lose, repeat or delay it.
    std::function<void(const base::HostId&, const JobRecord&)> send_record;
    /// Sends an acknowledgement to an owner, which hands it to `OnRecordAck`.
    std::function<void(const base::HostId&, const RecordAck&)> send_record_ack;
    /// Starts tasks, each at most once, and later calls `OnTaskReport` for each. Tasks whose start
    /// is lost without a trace end with the job's deadline.
    std::function<void(const std::vector<TaskStart>&)> start_tasks;
    /// Stops tasks of an ended job as far as possible. May run before `start_tasks` for the same
    /// tasks returned.
    std::function<void(const std::vector<TaskStart>&)> cancel_tasks;
    /// Optional. Writes a record to a synced disk and then calls the function with the success.
    /// Used only in a view of one host.
    std::function<void(const JobRecord&, std::function<void(bool)>)> write_record_to_disk;
    /// Optional. Tells whether a new submission may be accepted without any copy, in a view of one
    /// host without disk. Without this hook it is refused.
    std::function<bool(const Submission&)> may_run_unreplicated;
  };

  /// Creates a ledger without a view, which refuses all submissions. `self` is this process.
  JobCoordinator(MembershipView::Member self, JobCoordinatorSettings settings, Hooks hooks);

  /// Puts the next view in force. Views of an epoch that is not above the last one are ignored.
  /// Must be called by one thread at a time, with each view in turn. Cost: linear in known jobs.
  void SetView(const MembershipView& view);

  /// Tells that a host of the view in force was started again without a change of view, so that its
  /// earlier start is dead and has lost its jobs and copies. A restart of this host itself, or one
  /// that the view knows, changes nothing. Must not run at the same time as `SetView`. Cost: linear
  /// in known jobs.
  void OnHostRestart(const MembershipView::Member& member);

  /// Accepts a submission or joins the job with the same id and content. `on_result` is called
  /// exactly once, also for a refusal; `on_accepted` (optional) at most once, before it, when the
  /// job is recorded. Other content under a known id is refused with `kConflict`, "not run". If
  /// another host owns the id, the refusal is `kFenced` and the answer names the owner, to which
  /// the submission can be forwarded.
  void Submit(std::shared_ptr<const Submission> submission, ResultCallback on_answer,
              AcceptedCallback on_accepted = nullptr);

  /// Takes an owner's record for this host as backup, and acknowledges it to `from`.
  void OnJobRecord(const base::HostId& from, const JobRecord& record);

  /// Takes the answer of a backup to a record.
  void OnRecordAck(const base::HostId& from, const RecordAck& ack);

  /// Takes the end of a placement. Returns false if the report told nothing new: the job or the
  /// placement isn't known here as running.
  bool OnTaskReport(const TaskReport& report);

  /// Ends a job of this host that runs. Returns false if it doesn't run here, because it is
  /// unknown, ended or of another owner.
  bool CancelJob(const base::SubmissionId& id);

  /// Ends all running jobs of a team that this host owns, and returns their number. Cost: linear
  /// in the jobs that it ends and their tasks; holds one shard's lock at a time.
  size_t CancelJobsOfTeam(const base::TeamId& team);

  /// Returns the progress of a job.
  JobStatus StatusOf(const base::SubmissionId& id);

  /// Returns the host to which requests about an id go: the job's owner if the job is known here,
  /// otherwise the host that accepts the id as new; empty without a view.
  base::HostId OwnerOf(const base::SubmissionId& id);

  /// Sends due records again, places tasks again, and ends jobs whose time is over. To be called
  /// every few milliseconds. Cost: linear in the jobs that are due.
  void Tick();

 private:
  enum class Phase { kRecordingSubmission, kRunning, kRecordingOutcome, kEnded };

  struct OutstandingRecord {
    std::shared_ptr<const JobRecord> record;
    base::TimePoint resend_at;
    uint32_t send_count = 0;
  };

  struct Job {
    explicit Job(size_t size) : tasks(size) {}

    TaskTable tasks;
    std::shared_ptr<const Submission> submission;
    base::SubmissionId id;
    base::TeamId team;
    uint64_t content_hash = 0;
    MembershipView::Member owner;
    // Of an owned job: the host that has or gets the copy, and whether it acknowledged a full one.
    MembershipView::Member backup;
    bool has_full_backup = false;
    base::SequenceNumber ownership_sequence_number;
    // The backup has yet to confirm that the id is new.
    bool requires_uniqueness_check = false;
    Phase phase = Phase::kRecordingSubmission;
    bool succeeded = false;
    base::Error error;
    base::TimePoint created_at;
    base::TimePoint deadline;
    base::TimePoint inherited_task_deadline = base::TimePoint::max();
    base::TimePoint placement_retry_at = base::TimePoint::max();
    base::TimePoint record_results_at = base::TimePoint::max();
    base::TimePoint outcome_record_deadline = base::TimePoint::max();
    // Next look at a job whose starts wait for the view lease.
    base::TimePoint advance_retry_at = base::TimePoint::max();
    base::TimePoint ended_at;
    // Key of the job in the shard's timer set.
    base::TimePoint timer_time = base::TimePoint::max();
    bool was_answered_unrecorded = false;
    std::optional<OutstandingRecord> outstanding_record;
    std::vector<ResultCallback> result_callbacks;
    std::vector<AcceptedCallback> accepted_callbacks;
  };

  struct Shard {
    std::shared_ptr<const ViewHistory> view_history;
    std::unordered_map<base::SubmissionId, std::unique_ptr<Job>> jobs;
    std::set<std::pair<base::TimePoint, Job*>> timers;
    std::unordered_map<base::TeamId, std::unordered_set<Job*>> running_jobs;
    // Ended jobs in the order of their ends; an entry whose job is gone is skipped.
    std::deque<std::pair<base::TimePoint, base::SubmissionId>> ended_jobs;
    // Unknown ids created up to this time may have been forgotten early.
    base::TimePoint evicted_creation_bound = base::TimePoint::min();
  };

  struct ResultDelivery {
    std::shared_ptr<const JobResult> result;
    std::vector<ResultCallback> callbacks;
  };

  struct Effects {
    std::vector<std::pair<base::HostId, std::shared_ptr<const JobRecord>>> records_to_send;
    std::vector<std::shared_ptr<const JobRecord>> records_to_write;
    std::vector<TaskStart> tasks_to_start;
    std::vector<TaskStart> tasks_to_cancel;
    std::vector<AcceptedCallback> accepted_callbacks;
    std::vector<ResultDelivery> result_deliveries;
  };

  /// What a call has asked the hooks before it took the lock.
  struct CallContext {
    base::TimePoint now;
    bool has_view_lease = false;
    /// Why not.
    std::string lease_error;
  };

  struct SubmitRequest {
    std::shared_ptr<const Submission> submission;
    uint64_t content_hash = 0;
    std::optional<base::Duration> submission_age;
    bool may_run_unreplicated = false;
    ResultCallback on_result;
    AcceptedCallback on_accepted;
  };

  /// What a call knows of a record before it takes the lock.
  struct IncomingRecord {
    const JobRecord& record;
    uint64_t content_hash = 0;
    std::optional<base::Duration> submission_age;
  };

  CallContext CaptureCallContext() const;
  base::TimePoint EarliestCreationTime(std::optional<base::Duration> age,
                                       base::TimePoint now) const;
  static bool IsJobRunning(const Job& job);
  bool IsJobOwner(const Job& job) const;

  void AddOrJoinJob(Shard& shard, SubmitRequest& request, const CallContext& moment,
                    Effects& effects);
  void JoinJob(Job& job, SubmitRequest& request, Effects& effects) const;
  void AddNewJob(Shard& shard, SubmitRequest& request, const CallContext& moment, Effects& effects);
  base::Result<void> ValidateNewSubmission(const Shard& shard, const SubmitRequest& request,
                                           const CallContext& moment) const;
  base::Result<void> ValidateUnknownId(const Shard& shard, const SubmitRequest& request,
                                       base::TimePoint now) const;
  base::Result<void> ValidateContent(const Submission& submission) const;

  bool IsBackupRecordOfView(const ViewHistory& view, const JobRecord& record) const;
  base::HostId KnownOwner(const Shard& shard, const base::SubmissionId& id) const;
  RecordAck::Outcome StoreRecord(Shard& shard, const IncomingRecord& incoming,
                                 const CallContext& moment);
  Job& AddBackupCopy(Shard& shard, const IncomingRecord& incoming, base::TimePoint now) const;
  void MergeIntoBackupCopy(Shard& shard, Job& job, const JobRecord& record, base::TimePoint now);

  void InstallView(const std::shared_ptr<const ViewHistory>& view, const CallContext& moment);
  void InstallViewInShard(Shard& shard, const std::shared_ptr<const ViewHistory>& view,
                          const CallContext& moment, Effects& effects);
  bool JobSurvivesView(const ViewHistory& view, const Job& job) const;
  void RetainOwnedJob(Shard& shard, Job& job, const CallContext& moment, Effects& effects);
  void TakeOverJob(Shard& shard, Job& job, const CallContext& moment, Effects& effects);

  void AdvanceJob(Shard& shard, Job& job, const CallContext& moment, Effects& effects);
  static bool JobNeedsRecord(const Job& job, base::TimePoint now);
  std::shared_ptr<const JobRecord> BuildJobRecord(const Shard& shard, Job& job,
                                                  std::vector<base::TaskIndex> starts,
                                                  base::TimePoint now);
  void SendJobRecord(Shard& shard, Job& job, std::vector<base::TaskIndex> starts,
                     const CallContext& moment, Effects& effects);
  void SendOutstandingRecord(Job& job, base::TimePoint now, Effects& effects) const;
  static void WithdrawOutstandingRecord(Job& job, base::TimePoint now);
  static void RejectDuplicateJob(Shard& shard, Job& job, const base::HostId& known_owner,
                                 Effects& effects);
  void OnRecordStored(Shard& shard, Job& job, const CallContext& moment, Effects& effects);
  void OnRecordWritten(const JobRecord& record, bool ok);

  void ApplyReportOutcome(Shard& shard, Job& job, const TaskReport& report,
                          TaskTable::ReportOutcome outcome, const CallContext& moment,
                          Effects& effects);
  void RetryPlacements(const Shard& shard, Job& job, const CallContext& moment,
                       Effects& effects) const;
  void OnJobTimer(Shard& shard, Job& job, const CallContext& moment, Effects& effects);
  void OnOwnedJobTimer(Shard& shard, Job& job, const CallContext& moment, Effects& effects);

  void BeginEndingJob(Shard& shard, Job& job, std::optional<base::Error> error,
                      const CallContext& moment, Effects& effects);
  void FinishEndingJob(Shard& shard, Job& job, base::TimePoint now, Effects& effects);
  void RetainEndedJob(Shard& shard, Job& job, base::TimePoint now);
  void EvictEndedJobs(Shard& shard, base::TimePoint now);

  void ScheduleTimer(Shard& shard, Job& job) const;
  base::TimePoint NextTimerTime(const Job& job) const;
  static void DropJob(Shard& shard, Job& job, Effects& effects);
  static void EraseJob(Shard& shard, Job& job);
  static void AddToRunningJobs(Shard& shard, Job& job);
  static void RemoveFromRunningJobs(Shard& shard, Job& job);
  static void QueueJobResult(Job& job, bool certain, Effects& effects);
  static JobResult MakeJobResult(const Job& job, bool certain);
  static TaskStart MakeTaskStart(const Job& job, base::TaskIndex index);
  void ApplyEffects(const Effects& effects);

  MembershipView::Member self;
  JobCoordinatorSettings settings;
  Hooks hooks;
  std::atomic<uint64_t> next_sequence_number{1};
  // Touched only by the thread in `SetView` or `OnHostRestart`.
  std::shared_ptr<const ViewHistory> latest_view_history;
  base::Sharded<base::SubmissionId, Shard> shards;
};

}  // namespace sapphirecrank::jobs
