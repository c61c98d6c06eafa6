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

/// Forwards the jobs of callers to the entry hosts that own them, and runs the jobs that this host
/// owns.
///
/// Thread safety: all methods may be called from any thread; hooks run with no lock held.
class JobService {
 public:
  using ResultCallback = std::function<void(const jobs::JobResult&)>;

  /// Functions that this class calls. All members must be set.
  struct Hooks {
    base::Clock now;
    /// Succeeds while this host holds its view lease; otherwise returns why it doesn't.
    std::function<base::Result<void>()> check_view_lease;
    /// Sends a message that arrives unless the other process is lost. Returns false if the message
    /// was not sent.
    std::function<bool(const base::HostId&, protocol::Message)> send_reliably;
    /// Tells whether this host is shutting down.
    std::function<bool()> is_leaving;
    /// Tells whether jobs may run without a copy on a second host if no other host is in the view.
    std::function<bool()> may_run_unreplicated;
    /// Returns a reachable entry host of another data centre, or an empty id if there is none.
    std::function<base::HostId(const base::DataCentreId&)> select_host_in;
    /// For this hook and the next two see `dispatch::JobPlacer::Hooks`.
    std::function<std::vector<dispatch::HostLoad>(base::TargetKind)> host_loads;
    std::function<bool(const base::HostId&, const std::vector<dispatch::Assignment>&)> assign_tasks;
    std::function<void(const base::HostId&, const base::SubmissionId&)> cancel_submission;
  };

  JobService(jobs::MembershipView::Member self, base::DataCentreId data_centre, Hooks hooks);

  /// Runs a job at its owner, or joins the job with the same id and content there. `on_result` is
  /// called exactly once.
  void Submit(const jobs::Submission& submission, const ResultCallback& on_result);

  /// Returns the team of a job whose result a caller of this host awaits, otherwise an empty id.
  base::TeamId TeamOfJob(const base::SubmissionId& submission);

  /// Cancels a job that runs here, or asks its owner to cancel it. Error: `kNotFound` if it doesn't
  /// run here and no owner can be asked.
  base::Result<void> CancelJob(const base::SubmissionId& submission);

  /// Handles a submission that another entry host has forwarded to this one.
  void OnForwardedSubmission(const base::HostId& from, const protocol::ForwardSubmission& message);

  /// Handles the result of a submission that this host has forwarded. If another host than `from`
  /// owns the job, forwards the submission to that host, at most once.
  void OnForwardedResult(const base::HostId& from, const protocol::SubmissionResponse& message);

  void OnJobRecord(const base::HostId& from, const jobs::JobRecord& record);
  void OnRecordAck(const base::HostId& from, const jobs::RecordAck& ack);
  void OnCancelSubmission(const base::SubmissionId& submission);

  /// Handles the end of a task. Returns false if the report isn't about a placement of a job that
  /// this host owns.
  bool OnTaskReport(const base::HostId& host, const dispatch::TaskReport& report);

  /// Ends all placements on a lost host and all submissions forwarded to it as "may have run".
  void OnHostLost(const base::HostId& host);

  /// Adopts the next view. Calls must not overlap.
  void SetView(const jobs::MembershipView& view);

  /// Handles expired deadlines. To be called every few milliseconds.
  void Tick();

  /// Ends all forwarded submissions as "may have run", before the process stops without a drain.
  void FailAllForwarded();

  /// Returns the number of submissions, from callers and other entry hosts, that await their
  /// result.
  size_t SubmissionsInFlight() const;

 private:
  struct ForwardedSubmission {
    base::HostId host;
    jobs::Submission submission;
    base::TimePoint response_deadline;
    // Another host has named `host` as the owner; the submission is not redirected again.
    bool is_redirected = false;
    ResultCallback on_result;
  };

  jobs::JobCoordinator::Hooks JobCoordinatorHooks();
  dispatch::JobPlacer::Hooks JobPlacerHooks();
  base::DataCentreId HomeDataCentreOf(const base::SubmissionId& submission) const;
  void SubmitInDataCentre(const jobs::Submission& submission, const ResultCallback& on_result);
  void ForwardToHost(const base::HostId& host, const jobs::Submission& submission,
                     bool is_redirected, const ResultCallback& on_result);
  void DeliverUnknownOutcome(const ResultCallback& on_result, const std::string& reason) const;
  void FailForwardedIf(const std::function<bool(const ForwardedSubmission&)>& condition,
                       const std::string& reason);
  ResultCallback WithInFlightCount(const ResultCallback& on_result);
  ResultCallback WithTeamTracking(const jobs::Submission& submission,
                                  const ResultCallback& on_result);

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
