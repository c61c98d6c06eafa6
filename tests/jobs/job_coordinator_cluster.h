#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/manual_clock.h"
#include "base/task_key.h"
#include "jobs/job_coordinator.h"
#include "jobs/submission.h"

namespace sapphirecrank::jobs {

/// Several job coordinators joined by an in-memory network and a fake target, under one manual
/// clock.
///
/// Lists violations of the invariants: a start while an earlier placement may run or has run, a
/// repeated result, a partial result, an incorrect verdict.
class JobCoordinatorCluster {
 public:
  struct Message {
    size_t from = 0;
    size_t to = 0;
    std::function<void(JobCoordinator&)> deliver;
  };

  /// A submission by a caller that waits for the result.
  struct Call {
    base::SubmissionId id;
    size_t host = 0;
    base::Incarnation incarnation;
    bool has_original_content = true;
    bool is_accepted = false;
    int result_count = 0;
    JobResult result;
  };

  explicit JobCoordinatorCluster(size_t host_count, JobCoordinatorSettings settings = Settings());
  static JobCoordinatorSettings Settings();

  base::SubmissionId NewId();
  Call& Submit(size_t host, const base::SubmissionId& id, size_t tasks = 2,
               const std::string& payload = "p");
  /// Submits to the host that a member of the latest view regards as the owner.
  Call& SubmitToOwner(const base::SubmissionId& id, size_t tasks = 2);
  size_t OwnerOf(const base::SubmissionId& id);
  /// Returns the owner, or `fallback` if it is dead or no member knows the latest view.
  size_t OwnerOfOr(const base::SubmissionId& id, size_t fallback);
  /// Returns the first member other than the owner in the id's order of preference.
  size_t BackupOf(const base::SubmissionId& id);

  void DeliverMessage(size_t position);
  void DeliverAllMessages();
  void DropMessage(size_t position);
  void DuplicateMessage(size_t position) { this->messages.push_back(this->messages[position]); }

  // Each takes a pending start, lets the fake target run, reject or lose the task, and queues the
  // report on it. `has_run` tells whether a lost task ran before that.
  void RunTask(size_t position, bool succeeded = true);
  void RejectTask(size_t position);
  void LoseTask(size_t position, bool has_run);
  /// Queues a message that delivers `report` to a host.
  void QueueReport(TaskReport report, size_t host);

  void KillHost(size_t host);
  void RestartHost(size_t host);
  /// Restarts a dead host, with its new incarnation in place of the earlier one if it is in the
  /// latest view, and notifies the hosts that know this view.
  void RestartHostInView(size_t host);
  /// Moves a host to the side of the network partition that gets no views.
  void IsolateHost(size_t host) { this->hosts[host].is_isolated = true; }
  /// Moves a host back to the side that gets the views.
  void HealHost(size_t host) { this->hosts[host].is_isolated = false; }
  /// Decides the next view: all hosts that are alive and not isolated. Hosts learn of it only by
  /// `LearnNextView` or `LearnAllViews`.
  void DecideView();
  /// Gives a host the next view that it doesn't know.
  void LearnNextView(size_t host);
  void LearnAllViews();
  /// Advances the clock and ticks all coordinators.
  void AdvanceTime(base::Duration duration);
  /// Heals all hosts, installs a new view, and runs all tasks to their ends.
  void RunUntilSettled();
  /// Delivers messages and advances the time for long enough to renew all copies.
  void RenewCopies();
  /// Tells whether a live host knows the job.
  bool IsKnown(const base::SubmissionId& id);
  /// Tells whether a live host knows the job as ended.
  bool IsEnded(const base::SubmissionId& id);
  /// Tells whether a host is alive, knows the latest view and is a member of it.
  bool IsMemberOfLatestView(size_t host) const;
  size_t live_host_count() const;
  /// Returns the number of members of the latest view.
  size_t member_count() const { return this->views.back().members.size(); }

  base::ManualClock clock;
  std::deque<Message> messages;
  std::vector<TaskStart> pending_starts;
  std::vector<size_t> pending_start_hosts;
  std::vector<TaskReport> reports;
  std::deque<Call> calls;
  std::map<base::TaskKey, int> run_counts;
  std::vector<std::string> violations;
  size_t cancelled_task_count = 0;
  std::function<void(const JobRecord&, std::function<void(bool)>)> write_record_to_disk;
  bool run_unreplicated = false;

  struct Host {
    std::unique_ptr<JobCoordinator> job_coordinator;
    base::Incarnation incarnation;
    bool is_isolated = false;
    size_t known_views = 0;
  };
  std::vector<Host> hosts;

 private:
  JobCoordinator::Hooks HooksOf(size_t host);
  bool HasViewLease(size_t host) const;
  void Send(size_t from, const base::HostId& to, std::function<void(JobCoordinator&)> deliver);
  void OnTaskStarts(size_t host, const std::vector<TaskStart>& task_starts);
  void OnResult(Call& call, const JobResult& job_result);
  void CheckNotRun(const Call& call, base::TaskIndex index);
  TaskStart TakePendingStart(size_t position, size_t& host);
  void AddViolation(const std::string& description, const base::TaskKey& key);

  JobCoordinatorSettings settings;
  std::vector<MembershipView> views;
  std::vector<base::TimePoint> view_times;
  uint64_t next_id = 1;
  /// Number of placements of each task that may run or have run.
  std::map<base::TaskKey, int> live_placement_counts;
  /// Tasks that were reported as "not run" and not submitted again since.
  std::set<base::TaskKey> reported_not_run;
};

}  // namespace sapphirecrank::jobs
