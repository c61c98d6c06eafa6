#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "clusterhost/proposal_outcome.h"
#include "clusterhost/run_event_sender.h"
#include "gateway/allocator_selector.h"
#include "protocol/message.h"
#include "stored/job_scheduler.h"
#include "stored/job_state_machine.h"

namespace sapphirecrank::observability {
class Logger;
}  // namespace sapphirecrank::observability

namespace sapphirecrank::clusterhost {

/// Manages the stored jobs on an allocator: holds its replica of their records, and schedules them
/// while this host leads the group.
///
/// Thread safety: all methods may be called from any thread. The hook `now` may run under a lock;
/// the other hooks run without one.
class StoredJobManager {
 public:
  struct Settings {
    base::HostId self;
    base::DataCentreId data_centre;
    /// How long the record of a job is kept after the job has ended.
    base::Duration job_retention = std::chrono::seconds(120);
    /// See `stored::JobScheduler::Settings`.
    base::Duration lost_run_delay = std::chrono::milliseconds(1800);
  };

  /// Callbacks into the owner; all members must be set.
  struct Hooks {
    base::Clock now;
    /// Returns the host that leads the group, or an empty id if none is known.
    std::function<base::HostId()> leader;
    /// Sends a message to another host; returns false if it was certainly not sent.
    std::function<bool(const base::HostId&, protocol::Message)> send;
    /// Proposes a change of the stored jobs to the group.
    std::function<void(std::string, std::function<void(ProposalOutcome)>)> propose_job_change;
    // Calls to the run scheduler of this host.
    std::function<void(const runs::TaskBatch&)> place_batch_locally;
    std::function<void(const base::SubmissionId&)> cancel_job_locally;
    std::function<void(const runs::RunEventAcknowledgements&)> acknowledge_events_locally;
  };

  /// Precondition: `logger` outlives this object.
  StoredJobManager(const Settings& settings, Hooks hooks, observability::Logger& logger);

  /// Returns the replicated records, to which the group applies committed commands.
  stored::JobStateMachine& job_state_machine() { return this->state_machine; }

  /// Tells whether this host schedules the stored jobs.
  bool IsLeading() { return this->scheduler.IsLeading(); }

  /// Handles a message about stored jobs; returns false and does nothing for any other message.
  bool OnMessage(const base::HostId& from, const protocol::Message& message);

  /// To be called while this host leads in `term` and holds the leader lease.
  void OnLeaseHeld(base::Term term) { this->scheduler.OnLeaseHeld(term); }

  /// Handles the loss of a host, which may be an allocator.
  void OnHostLost(const base::HostId& host);

  /// Handles the result of a task batch that this host has placed.
  void OnBatchEnd(const base::HostId& allocator, const runs::BatchResult& result);

  /// Handles the capacity report of an allocator, which may be this host.
  void OnCapacityReport(const base::HostId& allocator, const runs::CapacityReport& report);

  /// Sends events of the runs on this host's own targets to the leader.
  void OnRunEvents(const std::vector<runs::RunEvent>& events) { this->event_sender.Add(events); }

  /// Runs the scheduler's timers and sends due events. To be called several times per 100 ms.
  void Tick();

 private:
  stored::JobScheduler::Hooks SchedulerHooks();
  void OnJobRequest(const base::HostId& from, const stored::JobRequest& request);
  void SubmitJob(const base::HostId& from, const stored::JobRequest& request);
  void CancelJob(const base::HostId& from, const stored::JobRequest& request);
  void ProposeChange(const base::HostId& from, const stored::JobRequest& request,
                     std::string command);
  void SendResponse(const base::HostId& to, const stored::JobRequest& request,
                    stored::JobResponse::Outcome outcome);
  void HandleRunEvents(const base::HostId& from, const runs::RunEvents& message);
  /// Answers the events that need no further record. Returns those whose outcomes have to be
  /// committed first.
  std::vector<runs::RunEvent> AnswerRunEvents(const base::HostId& from,
                                              const std::vector<runs::RunEvent>& events);
  void LogSupersededRuns(const stored::JobCommand::SupersedeRuns& command);
  void LogSupersededEvent(const base::HostId& from, const runs::RunEvent& event);
  void AcknowledgeRunEvents(const base::HostId& to,
                            const runs::RunEventAcknowledgements& acknowledgements);
  void OnEventAcknowledgements(const runs::RunEventAcknowledgements& acknowledgements);
  void LogRequest(const base::HostId& from, const stored::JobRequest& request,
                  const std::string& outcome);

  Settings settings;
  Hooks hooks;
  observability::Logger& logger;
  gateway::AllocatorSelector allocator_selector;
  stored::JobStateMachine state_machine;
  stored::JobScheduler scheduler;
  RunEventSender event_sender;
};

}  // namespace sapphirecrank::clusterhost
