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

/// An allocator's part in the stored jobs: its copy of their records, and their execution while
/// this host leads the group.
///
/// Thread safety: all methods may be called from any thread. Hooks run without a lock.
class StoredJobManager {
 public:
  struct Settings {
    base::HostId self;
    base::DataCentreId data_centre;
    /// How long the record of an ended job is kept.
    base::Duration job_retention = std::chrono::seconds(120);
  };

  /// Behaviour handed in; all members must be set.
  struct Hooks {
    base::Clock now;
    /// Returns the host that leads the group, or an empty id.
    std::function<base::HostId()> leader;
    /// Sends a message to another host; false means that it was surely not sent.
    std::function<bool(const base::HostId&, protocol::Message)> send;
    /// Has the group change the stored jobs.
    std::function<void(std::string, std::function<void(ProposalOutcome)>)> propose_job_change;
    // The runs of this host.
    std::function<void(const runs::TaskBatch&)> place_batch_locally;
    std::function<void(const base::SubmissionId&)> cancel_job_locally;
    std::function<void(const runs::RunEventAcknowledgements&)> acknowledge_events_locally;
  };

  StoredJobManager(const Settings& settings, Hooks hooks, observability::Logger& logger);

  /// Returns the replicated records, for the group.
  stored::JobStateMachine& job_state_machine() { return this->state_machine; }

  /// Tells whether this host runs the stored jobs.
  bool IsLeading() const { return this->scheduler.IsLeading(); }

  /// Takes a message if it concerns stored jobs; returns whether it does.
  bool OnMessage(const base::HostId& from, const protocol::Message& message);

  /// Tells that this host leads in `term` and holds the lease at this moment.
  void OnLeaseHeld(base::Term term) { this->scheduler.OnLeaseHeld(term); }

  void OnHostLost(const base::HostId& host);

  /// Takes the end of a part that this host has placed.
  void OnBatchEnd(const base::HostId& allocator, const runs::BatchResult& end);

  /// Takes what an allocator, maybe this one, can start.
  void OnCapacityReport(const base::HostId& allocator, const runs::CapacityReport& report);

  /// Takes notices of the runs on this host's own targets.
  void OnRunEvents(const std::vector<runs::RunEvent>& notices) { this->event_sender.Add(notices); }

  /// Does what is due by time. To be called several times in 100 ms.
  void Tick();

 private:
  stored::JobScheduler::Hooks SchedulerHooks();
  void OnJobRequest(const base::HostId& from, const stored::JobRequest& request);
  void SubmitJob(const base::HostId& from, const stored::JobRequest& request);
  void CancelJob(const base::HostId& from, const stored::JobRequest& request);
  void ProposeChange(const base::HostId& from, const stored::JobRequest& request,
                     std::string command);
  void SendReply(const base::HostId& to, const stored::JobRequest& request,
                 stored::JobReply::Outcome outcome);
  void HandleRunEvents(const base::HostId& from, const runs::RunEvents& message);
  void AcknowledgeRunEvents(const base::HostId& to, const runs::RunEventAcknowledgements& answers);
  void OnEventAcknowledgements(const runs::RunEventAcknowledgements& answers);
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
