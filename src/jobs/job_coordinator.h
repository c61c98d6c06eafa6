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

/// Accepts submissions, decides which of their tasks may start, and reports their results, on one
/// entry host of a data centre. Also keeps backup copies of jobs that other hosts own.
///
/// Ownership. The first host in an id's order of preference accepts the id as new, with the second
/// host as its backup. The job then stays with this owner and this backup while they are in the
/// view, even if hosts join that precede them in the order, so that a join leaves no job without a
/// copy. If the backup is not in a view, the owner copies the job to the first other host in the
/// order. If the owner is not in a view, its backup takes the job over. A copy is valid only while
/// its host is in every view; otherwise it is dropped, because starts may have been recorded at
/// another backup since. Therefore a host that misses a view, or that is not in the view, drops all
/// jobs that have not ended. All hosts must be given the same views. A lost copy of an ended job is
/// not replaced.
///
/// Starts. A task is passed to `start_tasks` only after the backup has acknowledged its start
/// record in the current epoch or, in a view of one host, after the record was written to disk. A
/// backup rejects records of any epoch but its own. Once it has learned of the next view, it
/// acknowledges nothing of the previous one. A new owner therefore knows each task that the
/// previous owner can ever start, and never starts it again.
///
/// Unknown ids. An id contains its creation time. An unknown id is accepted as new only if the
/// accepting host or its backup was owner or backup of the id in each view in which the id can have
/// been accepted. These are the views since its creation, each of them valid until
/// `view_transition_time` after the next one, when the last lease under it has ended. An acceptance
/// needs both owner and backup, so such a host would know the id. A host that has just joined
/// therefore asks its backup, with the first record; if the backup knows the job, the rejection
/// names the owner. Any other unknown id is rejected with "may have run", which covers the loss of
/// both copies. An unknown id older than `maximum_new_submission_age` is rejected as expired with
/// "may have run". Ended jobs are kept for longer than that, so this stays true after everything
/// about an id was evicted. If more than `maximum_ended_jobs` jobs have ended, the oldest are
/// evicted early, and unknown ids created before an evicted one are rejected as expired.
///
/// Results. A job succeeds once each task ran with success. It fails with the first task that can't
/// succeed, at its deadline, or by cancellation; then no further task starts. Callers get the
/// result once the outcome is recorded, so that a new owner can neither start a task that was
/// reported as "not run" nor report another result. If the record isn't acknowledged in time, the
/// result is reported without it, with "may have run" instead of "not run".
///
/// State is sharded by submission id, each shard under its own lock. Hooks run after the lock is
/// released, on the thread that made the change, except where noted. Thread safety: all methods may
/// be called from any thread, also from a hook, except where noted.
class JobCoordinator {
 public:
  using ResultCallback = std::function<void(const JobResult&)>;
  using AcceptedCallback = std::function<void()>;

  /// Callbacks of the coordinator; all that are not marked optional must be set.
  struct Hooks {
    base::Clock now;
    /// Returns an error if this host doesn't hold its view lease. Without the lease nothing is
    /// started or accepted; the error's message goes to the caller.
    std::function<base::Result<void>()> check_view_lease;
    /// Returns an id's first two hosts in the order of preference. Must be pure, and the order of
    /// two members must not depend on the other members. Runs under a lock.
    ViewHistory::ReplicaHostSelector select_replica_hosts;
    /// Returns the time since an id was created, by the wall clock, or nothing if the id contains
    /// no time. Must depend on nothing but the id and the clock.
    std::function<std::optional<base::Duration>(const base::SubmissionId&)> submission_age;
    /// Sends a record to a backup, which passes it to `OnJobRecord`. May lose, repeat or delay it.
    std::function<void(const base::HostId&, const JobRecord&)> send_record;
    /// Sends an acknowledgement to an owner, which passes it to `OnRecordAck`.
    std::function<void(const base::HostId&, const RecordAck&)> send_record_ack;
    /// Starts tasks, each at most once, and later calls `OnTaskReport` for each. A task that gets
    /// no report ends at the job's deadline.
    std::function<void(const std::vector<TaskStart>&)> start_tasks;
    /// Stops tasks of an ended job as far as possible. May run before `start_tasks` has returned
    /// for the same tasks.
    std::function<void(const std::vector<TaskStart>&)> cancel_tasks;
    /// Optional. Writes a record to disk, syncs it, and then calls the function with true, or with
    /// false if that failed. Used only in a view of one host.
    std::function<void(const JobRecord&, std::function<void(bool)>)> write_record_to_disk;
    /// Optional. Tells whether a new submission may be accepted without any copy, in a view of one
    /// host without a disk. Without this hook such a submission is rejected.
    std::function<bool(const Submission&)> may_run_unreplicated;
  };

  /// Creates a coordinator without a view, which rejects all submissions. `self` is this process.
  JobCoordinator(MembershipView::Member self, JobCoordinatorSettings settings, Hooks hooks);

  /// Installs the next view. A view whose epoch is not above the current one is ignored. Must be
  /// called by one thread at a time, with each view in order. Cost: linear in the known jobs.
  void SetView(const MembershipView& view);

  /// Notes that a host of the current view has restarted without a change of view, so that its
  /// earlier incarnation has lost its jobs and copies. A restart of this host itself, or one that
  /// the view already contains, changes nothing. Must not run at the same time as `SetView`. Cost:
  /// linear in the known jobs.
  void OnHostRestart(const MembershipView::Member& member);

  /// Accepts a submission or joins the job with the same id and content. `on_result` is called
  /// exactly once, also for a rejection; `on_accepted` (optional) at most once, before it, when the
  /// job is recorded. Other content under a known id is rejected with `kConflict` and "not run". If
  /// another host owns the id, the error is `kFenced` and the result names the owner, to which the
  /// submission can be forwarded.
  void Submit(std::shared_ptr<const Submission> submission, ResultCallback on_result,
              AcceptedCallback on_accepted = nullptr);

  /// Stores an owner's record on this host as its backup, and acknowledges it to `from`.
  void OnJobRecord(const base::HostId& from, const JobRecord& record);

  /// Handles a backup's acknowledgement of a record.
  void OnRecordAck(const base::HostId& from, const RecordAck& ack);

  /// Handles the end of a placement. Returns false if the report is ignored because this host
  /// doesn't know the job or the placement as running.
  bool OnTaskReport(const TaskReport& report);

  /// Cancels a running job that this host owns. Returns false if the job is unknown, has ended or
  /// is ending, or has another owner.
  bool CancelJob(const base::SubmissionId& id);

  /// Cancels all running jobs of a team that this host owns, and returns their number. Cost: linear
  /// in these jobs and their tasks; holds one shard's lock at a time.
  size_t CancelJobsOfTeam(const base::TeamId& team);

  /// Returns the progress of a job.
  JobStatus StatusOf(const base::SubmissionId& id);

  /// Returns the host that handles requests about an id: the owner if the job is known here,
  /// otherwise the host that accepts the id as new. Empty without a view.
  base::HostId OwnerOf(const base::SubmissionId& id);

  /// Sends due records again, retries due placements, ends jobs at their deadlines, and evicts old
  /// ended jobs. Must be called every few milliseconds. Cost: linear in the jobs that are due.
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
    // For an owned job: the host that keeps the backup copy, and whether it acknowledged a full
    // record.
    MembershipView::Member backup;
    bool has_full_backup = false;
    base::SequenceNumber ownership_sequence_number;
    // The backup has not yet confirmed that the id is new.
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
    // When the job is advanced again, if its starts wait for the view lease or a write has failed.
    base::TimePoint advance_retry_at = base::TimePoint::max();
    base::TimePoint ended_at;
    // Key of the job in the shard's timer set.
    base::TimePoint timer_time = base::TimePoint::max();
    // The callers got the result before its record was acknowledged.
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
    // Ended jobs in the order in which they ended; each of them is still in `jobs`.
    std::deque<std::pair<base::TimePoint, base::SubmissionId>> ended_jobs;
    // Ids created up to this time may have been evicted early.
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

  /// Values that a call gets from the hooks before it takes the lock.
  struct CallContext {
    base::TimePoint now;
    bool has_view_lease = false;
    /// Why the lease is not held; empty if it is.
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

  /// A record with the values that are computed before the lock is taken.
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

  void AddOrJoinJob(Shard& shard, SubmitRequest& request, const CallContext& context,
                    Effects& effects);
  void JoinJob(Job& job, SubmitRequest& request, Effects& effects) const;
  void AddNewJob(Shard& shard, SubmitRequest& request, const CallContext& context,
                 Effects& effects);
  base::Result<void> ValidateNewSubmission(const Shard& shard, const SubmitRequest& request,
                                           const CallContext& context) const;
  base::Result<void> ValidateUnknownId(const Shard& shard, const SubmitRequest& request,
                                       base::TimePoint now) const;
  base::Result<void> ValidateContent(const Submission& submission) const;

  bool IsBackupRecordOfView(const ViewHistory& view_history, const JobRecord& record) const;
  base::HostId KnownOwner(const Shard& shard, const base::SubmissionId& id) const;
  RecordAck::Outcome StoreRecord(Shard& shard, const IncomingRecord& incoming,
                                 const CallContext& context);
  Job& AddBackupCopy(Shard& shard, const IncomingRecord& incoming, base::TimePoint now) const;
  void MergeIntoBackupCopy(Shard& shard, Job& job, const JobRecord& record, base::TimePoint now);

  void InstallView(const std::shared_ptr<const ViewHistory>& view_history,
                   const CallContext& context);
  void InstallViewInShard(Shard& shard, const std::shared_ptr<const ViewHistory>& view_history,
                          const CallContext& context, Effects& effects);
  bool JobSurvivesView(const ViewHistory& view_history, const Job& job) const;
  void RetainOwnedJob(Shard& shard, Job& job, const CallContext& context, Effects& effects);
  void TakeOverJob(Shard& shard, Job& job, const CallContext& context, Effects& effects);

  void AdvanceJob(Shard& shard, Job& job, const CallContext& context, Effects& effects);
  static bool JobNeedsRecord(const Job& job, base::TimePoint now);
  std::shared_ptr<const JobRecord> BuildJobRecord(const Shard& shard, Job& job,
                                                  std::vector<base::TaskIndex> started_tasks,
                                                  base::TimePoint now);
  void SendJobRecord(Shard& shard, Job& job, std::vector<base::TaskIndex> started_tasks,
                     const CallContext& context, Effects& effects);
  void SendOutstandingRecord(Job& job, base::TimePoint now, Effects& effects) const;
  static void WithdrawOutstandingRecord(Job& job, base::TimePoint now);
  static void RejectDuplicateJob(Shard& shard, Job& job, const base::HostId& known_owner,
                                 Effects& effects);
  void OnRecordStored(Shard& shard, Job& job, const CallContext& context, Effects& effects);
  void OnRecordWritten(const JobRecord& record, bool is_written);

  void ApplyReportOutcome(Shard& shard, Job& job, const TaskReport& report,
                          TaskTable::ReportOutcome outcome, const CallContext& context,
                          Effects& effects);
  void RetryPlacements(const Shard& shard, Job& job, const CallContext& context,
                       Effects& effects) const;
  void OnJobTimer(Shard& shard, Job& job, const CallContext& context, Effects& effects);
  void OnOwnedJobTimer(Shard& shard, Job& job, const CallContext& context, Effects& effects);

  void BeginEndingJob(Shard& shard, Job& job, std::optional<base::Error> error,
                      const CallContext& context, Effects& effects);
  void FinishEndingJob(Shard& shard, Job& job, base::TimePoint now, Effects& effects);
  void RetainEndedJob(Shard& shard, Job& job, base::TimePoint now);
  void EvictEndedJobs(Shard& shard, base::TimePoint now);

  void ScheduleTimer(Shard& shard, Job& job) const;
  base::TimePoint NextTimerTime(const Job& job) const;
  static void DropJob(Shard& shard, Job& job, Effects& effects);
  static void EraseJob(Shard& shard, Job& job);
  static void AddToRunningJobs(Shard& shard, Job& job);
  static void RemoveFromRunningJobs(Shard& shard, Job& job);
  static void QueueJobResult(Job& job, bool is_outcome_recorded, Effects& effects);
  static JobResult MakeJobResult(const Job& job, bool is_outcome_recorded);
  static TaskStart MakeTaskStart(const Job& job, base::TaskIndex index);
  void ApplyEffects(const Effects& effects);

  MembershipView::Member self;
  JobCoordinatorSettings settings;
  Hooks hooks;
  std::atomic<uint64_t> next_sequence_number{1};
  // Used only by the thread that runs `SetView` or `OnHostRestart`.
  std::shared_ptr<const ViewHistory> latest_view_history;
  base::Sharded<base::SubmissionId, Shard> shards;
};

}  // namespace sapphirecrank::jobs
