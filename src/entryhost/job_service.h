#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/mutex.h"
#include "base/result.h"
#include "base/time.h"
#include "dispatch/job_placer.h"
#include "dispatch/task_report.h"
#include "jobs/job_coordinator.h"
#include "jobs/job_result.h"
#include "jobs/submission.h"
#include "protocol/forward_submission.h"
#include "protocol/message.h"
#include "protocol/submission_response.h"

namespace sapphirecrank::entryhost {

/// Takes jobs of callers to the entry host that owns them, and serves those that this host owns.
///
/// Thread safety: all methods may be called from any thread; hooks run with no lock held.
class JobService {
 public:
  using ResultCallback = std::function<void(const jobs::JobResult&)>;

  /// Behaviour handed in; all members must be set.
  struct Hooks {
    base::Clock now;
    /// Tells whether this host's view lease runs.
    std::function<base::Result<void>()> check_view_lease;
    /// Sends a message that arrives unless the other process is lost; false if it surely won't.
    std::function<bool(const base::HostId&, protocol::Message)> send;
    /// Tells whether this host is shutting down.
    std::function<bool()> is_leaving;
    /// Tells whether jobs may run without a copy on a second host, if no other is in the view.
    std::function<bool()> may_run_unreplicated;
    /// Returns an entry host of another data centre that answers, or an empty id.
    std::function<base::HostId(const base::DataCentreId&)> select_host_in;
    /// See `dispatch::JobPlacer::Hooks`.
    std::function<std::vector<dispatch::HostLoad>(base::TargetKind)> host_loads;
    std::function<bool(const base::HostId&, const std::vector<dispatch::Assignment>&)> assign_tasks;
    std::function<void(const base::HostId&, const base::SubmissionId&)> cancel_submission;
  };

  JobService(jobs::MembershipView::Member self, base::DataCentreId data_centre, Hooks hooks);

  /// Runs a job or joins the one with the same id and content, at its owner. `on_result` is called
  /// exactly once.
  void Submit(const jobs::Submission& submission, const ResultCallback& on_answer);

  /// Returns the team of a job whose answer is open on this host, otherwise an empty id.
  base::TeamId TeamOfJob(const base::SubmissionId& submission);

  /// Asks the job's owner to cancel it. `kNotFound` if no owner can be asked.
  base::Result<void> CancelJob(const base::SubmissionId& submission);

  /// Takes a submission that another entry host passed on.
  void OnForwardedSubmission(const base::HostId& from, const protocol::ForwardSubmission& message);

  /// Takes the answer to a submission that this host passed on.
  void OnForwardedResult(const base::HostId& from, const protocol::SubmissionResponse& message);

  void OnJobRecord(const base::HostId& from, const jobs::JobRecord& record);
  void OnRecordAck(const base::HostId& from, const jobs::RecordAck& ack);
  void OnCancelSubmission(const base::SubmissionId& submission);

  /// Takes the end of a task. False if it isn't about a placement of a job that this host owns.
  bool OnTaskReport(const base::HostId& host, const dispatch::TaskReport& report);

  /// Ends what waits for a host that was lost.
  void OnHostLost(const base::HostId& host);

  /// Puts the next view in force; one call at a time.
  void SetView(const jobs::MembershipView& view);

  /// To be called every few milliseconds.
  void Tick();

  /// Answers what is open with "may have run", before the process stops without having drained.
  void FailAllForwarded();

  /// Returns how many answers are open here, to callers and to other entry hosts.
  size_t SubmissionsInFlight() const;

 private:
  struct ForwardedSubmission {
    base::HostId host;
    jobs::Submission submission;
    base::TimePoint response_deadline;
    // The host was named as the owner by another one, which isn't asked for another.
    bool is_redirected = false;
    ResultCallback on_result;
  };

  jobs::JobCoordinator::Hooks JobCoordinatorHooks();
  dispatch::JobPlacer::Hooks JobPlacerHooks();
  base::DataCentreId HomeDataCentreOf(const base::SubmissionId& submission) const;
  void SubmitInDataCentre(const jobs::Submission& submission, const ResultCallback& on_answer);
  void ForwardToHost(const base::HostId& host, const jobs::Submission& submission, bool is_second,
                     const ResultCallback& on_answer);
  void DeliverUnknownOutcome(const ResultCallback& on_answer, const std::string& reason) const;
  void FailForwardedIf(const std::function<bool(const ForwardedSubmission&)>& condition,
                       const std::string& reason);
  ResultCallback WithInFlightCount(const ResultCallback& on_answer);
  ResultCallback WithTeamTracking(const jobs::Submission& submission,
                                  const ResultCallback& on_answer);

  jobs::MembershipView::Member self;
  base::DataCentreId data_centre;
  Hooks hooks;
  std::atomic<size_t> submissions_in_flight{0};
  std::atomic<uint64_t> next_request_number{1};
  base::Mutex mutex;
  std::unordered_map<base::SequenceNumber, ForwardedSubmission> forwarded_submissions
      GUARDED_BY(mutex);
  std::unordered_multimap<base::SubmissionId, base::TeamId> teams_of_jobs GUARDED_BY(mutex);
  dispatch::JobPlacer job_placer;
  jobs::JobCoordinator job_coordinator;
};

}  // namespace sapphirecrank::entryhost
