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

/// Several ledgers joined by an in-memory network and a fake target, all under one manual clock.
///
/// Counts violations of the invariants: a start while an earlier placement may run or ran, an
/// answer given twice, a partial answer, an untrue verdict.
class JobCoordinatorCluster {
 public:
  struct Message {
    size_t from = 0;
    size_t to = 0;
    std::function<void(JobCoordinator&)> deliver;
  };

  /// One submission by a caller that waits for the answer.
  struct Call {
    base::SubmissionId id;
    size_t host = 0;
    base::Incarnation incarnation;
    bool own_content = true;
    bool accepted = false;
    int result_count = 0;
    JobResult result;
  };

  explicit JobCoordinatorCluster(size_t host_count, JobCoordinatorSettings settings = Settings());
  static JobCoordinatorSettings Settings();

  base::SubmissionId NewId();
  Call& Submit(size_t host, const base::SubmissionId& id, size_t tasks = 2,
               const std::string& payload = "p");
  /// Submits to the host that a member in the latest view takes for the owner.
  Call& SubmitToOwner(const base::SubmissionId& id, size_t tasks = 2);
  size_t OwnerOf(const base::SubmissionId& id);
  /// The owner, or `fallback` if it is dead or no member knows the latest view.
  size_t OwnerOfOr(const base::SubmissionId& id, size_t fallback);
  /// The member other than the owner that comes first for the id.
  size_t BackupOf(const base::SubmissionId& id);

  void Deliver(size_t position);
  void DeliverAll();
  void Drop(size_t position);
  void Duplicate(size_t position) { this->messages.push_back(this->messages[position]); }

  /// The fake target lets a placement run, refuse or vanish and queues the report on it.
  void Run(size_t position, bool ok = true);
  void Refuse(size_t position);
  void Lose(size_t position, bool run);
  void Report(TaskReport report, size_t host);

  void Kill(size_t host);
  void Restart(size_t host);
  /// Restarts a dead host that is in the latest view, and tells the members that know this view.
  void RestartInView(size_t host);
  /// Moves a host to the side that is cut off from the views and from the other hosts.
  void Isolate(size_t host) { this->hosts[host].isolated = true; }
  void Heal(size_t host) { this->hosts[host].isolated = false; }
  /// Decides the next view: all hosts that are alive and not isolated. Hosts learn it by `Learn`.
  void DecideView();
  /// Tells a host the next view that it doesn't know.
  void Learn(size_t host);
  void LearnAll();
  /// Moves the clock and ticks all ledgers.
  void Advance(base::Duration step);
  /// Heals everything and runs until nothing is left to do.
  void Settle();
  /// Delivers messages and ticks for long enough to renew all copies.
  void Repair();
  /// Tells whether a living host knows the job.
  bool IsKnown(const base::SubmissionId& id);
  /// Tells whether a living host knows the job as ended.
  bool IsEnded(const base::SubmissionId& id);
  bool IsMember(size_t host) const;
  size_t alive_count() const;
  /// The number of members of the latest view.
  size_t member_count() const { return this->views.back().members.size(); }

  base::ManualClock clock;
  std::deque<Message> messages;
  std::vector<TaskStart> pending;
  std::vector<size_t> pending_hosts;
  std::vector<TaskReport> reports;
  std::deque<Call> calls;
  std::map<base::TaskKey, int> runs;
  std::vector<std::string> violations;
  size_t cancels = 0;
  std::function<void(const JobRecord&, std::function<void(bool)>)> write_disk;
  bool run_unreplicated = false;

  struct Host {
    std::unique_ptr<JobCoordinator> job_coordinator;
    base::Incarnation incarnation;
    bool isolated = false;
    size_t known_views = 0;
  };
  std::vector<Host> hosts;

 private:
  JobCoordinator::Hooks HooksOf(size_t host);
  bool HasViewLease(size_t host) const;
  void Send(size_t from, const base::HostId& to, std::function<void(JobCoordinator&)> deliver);
  void OnStarts(size_t host, const std::vector<TaskStart>& starts);
  void OnResult(Call& call, const JobResult& answer);
  void CheckNotRun(const Call& call, base::TaskIndex index);
  TaskStart TakePending(size_t position, size_t& host);
  void Violate(const std::string& what, const base::TaskKey& key);

  JobCoordinatorSettings settings;
  std::vector<MembershipView> views;
  std::vector<base::TimePoint> view_times;
  uint64_t next_id = 1;
  /// Placements that may run, for each task.
  std::map<base::TaskKey, int> alive;
  /// Tasks that were called "not run" and not submitted since.
  std::set<base::TaskKey> called_not_run;
};

}  // namespace sapphirecrank::jobs
