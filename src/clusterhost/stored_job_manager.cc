#include "clusterhost/stored_job_manager.h"

#include <set>
#include <utility>

#include "observability/log_field.h"
#include "observability/logger.h"
#include "runs/batch_cancel.h"
#include "stored/job_command.h"

namespace sapphirecrank::clusterhost {

using base::HostId;
using base::SubmissionId;
using runs::RunEvent;
using runs::RunEventAcknowledgements;
using stored::JobCommand;
using stored::JobRequest;
using stored::JobResponse;
using stored::JobScheduler;
using stored::JobState;

namespace {

// Payloads of open jobs are held in memory, in the log and in its snapshot; hosts have 256 MB.
constexpr base::ByteCount kMaximumPayloadBytes(24LL << 20);

const char* OutcomeName(JobResponse::Outcome outcome) {
  switch (outcome) {
    case JobResponse::Outcome::kDone:
      return "done";
    case JobResponse::Outcome::kRefused:
      return "refused";
    case JobResponse::Outcome::kUncertain:
      return "uncertain";
    case JobResponse::Outcome::kNotLeader:
      return "other_leader";
  }
  return "uncertain";
}

JobResponse::Outcome ResponseOutcomeOf(ProposalOutcome outcome) {
  switch (outcome) {
    case ProposalOutcome::kCommitted:
      return JobResponse::Outcome::kDone;
    case ProposalOutcome::kNotLeader:
      return JobResponse::Outcome::kNotLeader;
    case ProposalOutcome::kUnknown:
      break;
  }
  return JobResponse::Outcome::kUncertain;
}

}  // namespace

StoredJobManager::StoredJobManager(const Settings& settings, Hooks hooks,
                                   observability::Logger& logger)
    : settings(settings),
      hooks(std::move(hooks)),
      logger(logger),
      allocator_selector(this->settings.data_centre, this->hooks.now),
      state_machine([this](const std::vector<SubmissionId>& job_ids) {
        this->scheduler.OnJobsChanged(job_ids);
      }),
      scheduler({this->settings.self, this->settings.job_retention, this->settings.lost_run_delay},
                this->state_machine, this->SchedulerHooks()),
      event_sender({this->hooks.now, [this](const runs::RunEvents& message) {
                      const HostId leader = this->hooks.leader();
                      if (leader == this->settings.self) {
                        this->HandleRunEvents(leader, message);
                      } else if (!leader.empty()) {
                        // Events without an acknowledgement are sent again.
                        (void)this->hooks.send(leader, message);
                      }
                    }}) {}

JobScheduler::Hooks StoredJobManager::SchedulerHooks() {
  JobScheduler::Hooks scheduler_hooks;
  scheduler_hooks.now = this->hooks.now;
  scheduler_hooks.choose_allocator = [this](const base::ServiceId& service, base::TaskCount count,
                                            const runs::TaskRequirements& requirements,
                                            const std::set<HostId>& avoided) {
    return this->allocator_selector.ChooseAllocatorWithoutFullBacklog(service, count, requirements,
                                                                      avoided);
  };
  scheduler_hooks.place_batch = [this](const HostId& host, const runs::TaskBatch& batch) {
    if (host == this->settings.self) {
      this->hooks.place_batch_locally(batch);
      return true;
    }
    return this->hooks.send(host, batch);
  };
  scheduler_hooks.cancel_job = [this](const HostId& host, const SubmissionId& job) {
    if (host == this->settings.self) {
      this->hooks.cancel_job_locally(job);
    } else {
      // An allocator that can't be reached cancels the jobs of a silent leader by itself.
      (void)this->hooks.send(host, runs::BatchCancel{job});
    }
  };
  scheduler_hooks.remove_job_records = [this](const std::vector<SubmissionId>& job_ids) {
    this->hooks.propose_job_change(JobCommand{JobCommand::RemoveRecords{job_ids}}.Encode(),
                                   [](ProposalOutcome /*outcome*/) {});
  };
  scheduler_hooks.supersede_runs = [this](const JobCommand::SupersedeRuns& command) {
    this->LogSupersededRuns(command);
    this->hooks.propose_job_change(JobCommand{command}.Encode(),
                                   [](ProposalOutcome /*outcome*/) {});
  };
  scheduler_hooks.on_leadership_change = [this](bool is_leading) {
    this->logger.Info(is_leading ? "started scheduling stored jobs"
                                 : "stopped scheduling stored jobs");
  };
  return scheduler_hooks;
}

bool StoredJobManager::OnMessage(const HostId& from, const protocol::Message& message) {
  if (const auto* request = std::get_if<JobRequest>(&message)) {
    this->OnJobRequest(from, *request);
  } else if (const auto* events = std::get_if<runs::RunEvents>(&message)) {
    this->HandleRunEvents(from, *events);
  } else if (const auto* acknowledgements = std::get_if<RunEventAcknowledgements>(&message)) {
    this->OnEventAcknowledgements(*acknowledgements);
  } else if (const auto* report = std::get_if<runs::CapacityReport>(&message)) {
    this->OnCapacityReport(from, *report);
  } else if (const auto* result = std::get_if<runs::BatchResult>(&message)) {
    this->OnBatchEnd(from, *result);
  } else {
    return false;
  }
  return true;
}

void StoredJobManager::OnHostLost(const HostId& host) {
  this->allocator_selector.OnAllocatorLost(host);
  this->scheduler.OnAllocatorLost(host);
}

void StoredJobManager::OnBatchEnd(const HostId& allocator, const runs::BatchResult& result) {
  this->scheduler.OnBatchEnd(allocator, result);
}

void StoredJobManager::OnCapacityReport(const HostId& allocator,
                                        const runs::CapacityReport& report) {
  this->allocator_selector.OnCapacityReport(allocator, report);
}

void StoredJobManager::Tick() {
  this->scheduler.Tick();
  this->event_sender.SendDueEvents();
}

void StoredJobManager::OnJobRequest(const HostId& from, const JobRequest& request) {
  if (!this->scheduler.IsLeading()) {
    this->SendResponse(from, request, JobResponse::Outcome::kNotLeader);
    return;
  }
  switch (request.kind) {
    case JobRequest::Kind::kSubmit:
      this->SubmitJob(from, request);
      return;
    case JobRequest::Kind::kCancel:
      this->CancelJob(from, request);
      return;
    case JobRequest::Kind::kQueryState:
    case JobRequest::Kind::kCountPendingJobs:
      this->SendResponse(from, request, JobResponse::Outcome::kDone);
      return;
  }
}

void StoredJobManager::SubmitJob(const HostId& from, const JobRequest& request) {
  if (this->scheduler.JobStateOf(request.job_id) != JobState::kUnknown) {
    this->SendResponse(from, request, JobResponse::Outcome::kDone);
    return;
  }
  const auto command = JobCommand::Decode(request.command);
  const bool is_submission = command && std::holds_alternative<JobCommand::Submit>(command->change);
  if (!is_submission || this->state_machine.PayloadBytes() >= kMaximumPayloadBytes) {
    this->SendResponse(from, request, JobResponse::Outcome::kRefused);
    return;
  }
  this->ProposeChange(from, request, request.command);
}

void StoredJobManager::CancelJob(const HostId& from, const JobRequest& request) {
  if (this->scheduler.JobStateOf(request.job_id) == JobState::kUnknown) {
    this->SendResponse(from, request, JobResponse::Outcome::kDone);
    return;
  }
  this->ProposeChange(from, request, JobCommand{JobCommand::Cancel{request.job_id}}.Encode());
}

void StoredJobManager::ProposeChange(const HostId& from, const JobRequest& request,
                                     std::string command) {
  this->hooks.propose_job_change(std::move(command),
                                 [this, from, request](ProposalOutcome outcome) {
                                   this->SendResponse(from, request, ResponseOutcomeOf(outcome));
                                 });
}

void StoredJobManager::SendResponse(const HostId& to, const JobRequest& request,
                                    JobResponse::Outcome outcome) {
  JobResponse response;
  response.request_number = request.request_number;
  response.outcome = outcome;
  if (outcome == JobResponse::Outcome::kNotLeader) {
    response.leader = this->hooks.leader();
  } else if (request.kind == JobRequest::Kind::kCountPendingJobs) {
    response.pending_job_count =
        base::TaskCount(static_cast<int64_t>(this->scheduler.PendingJobCount(request.queue)));
  } else {
    response.state = this->scheduler.JobStateOf(request.job_id);
  }
  if (request.kind == JobRequest::Kind::kSubmit || request.kind == JobRequest::Kind::kCancel) {
    this->LogRequest(to, request, OutcomeName(outcome));
  }
  // A gateway that gets no response repeats its request.
  (void)this->hooks.send(to, response);
}

void StoredJobManager::LogRequest(const HostId& from, const JobRequest& request,
                                  const std::string& outcome) {
  const bool is_submission = request.kind == JobRequest::Kind::kSubmit;
  this->logger.Info(
      is_submission ? "stored job submission answered" : "stored job cancellation answered",
      {{"job", request.job_id.value()},
       {"gateway", from.value()},
       {"request", std::to_string(request.request_number.value())},
       {"outcome", outcome}});
}

void StoredJobManager::HandleRunEvents(const HostId& from, const runs::RunEvents& message) {
  if (!this->scheduler.IsLeading()) {
    return;  // The sender repeats them to the host that leads by then.
  }
  const std::vector<RunEvent> unrecorded_events = this->AnswerRunEvents(from, message.events);
  if (unrecorded_events.empty()) {
    return;
  }
  JobCommand::RecordOutcomes command;
  for (const RunEvent& event : unrecorded_events) {
    command.outcomes.push_back({event.key, event.kind == RunEvent::Kind::kSucceeded});
  }
  this->hooks.propose_job_change(JobCommand{command}.Encode(),
                                 [this, from, unrecorded_events](ProposalOutcome outcome) {
                                   if (outcome == ProposalOutcome::kCommitted) {
                                     // Some runs may have been superseded before the commit. The
                                     // sender repeats events without an answer.
                                     (void)this->AnswerRunEvents(from, unrecorded_events);
                                   }
                                 });
}

std::vector<RunEvent> StoredJobManager::AnswerRunEvents(const HostId& from,
                                                        const std::vector<RunEvent>& events) {
  RunEventAcknowledgements acknowledgements;
  std::vector<RunEvent> unrecorded_events;
  for (const RunEvent& event : events) {
    switch (this->scheduler.ClassifyRunEvent(event)) {
      case JobScheduler::EventDisposition::kAcknowledge:
        acknowledgements.acknowledged.push_back(event);
        break;
      case JobScheduler::EventDisposition::kSuperseded:
        acknowledgements.superseded.push_back(event);
        this->LogSupersededEvent(from, event);
        break;
      case JobScheduler::EventDisposition::kPropose:
        unrecorded_events.push_back(event);
        break;
      case JobScheduler::EventDisposition::kIgnore:
        break;
    }
  }
  this->AcknowledgeRunEvents(from, acknowledgements);
  return unrecorded_events;
}

void StoredJobManager::LogSupersededRuns(const JobCommand::SupersedeRuns& command) {
  for (const runs::RunKey& key : command.lowest_valid_runs) {
    this->logger.Info("superseding earlier runs of a task",
                      {{"job", key.task.job.value()},
                       {"step", std::to_string(key.task.step.value())},
                       {"task", std::to_string(key.task.index.value())},
                       {"lowest_valid_run", std::to_string(key.run.value())}});
  }
}

void StoredJobManager::LogSupersededEvent(const HostId& from, const RunEvent& event) {
  this->logger.Info("run end doesn't count; its run is superseded",
                    {{"job", event.key.task.job.value()},
                     {"step", std::to_string(event.key.task.step.value())},
                     {"task", std::to_string(event.key.task.index.value())},
                     {"run", std::to_string(event.key.run.value())},
                     {"target", event.target.value()},
                     {"allocator", from.value()}});
}

void StoredJobManager::AcknowledgeRunEvents(const HostId& to,
                                            const RunEventAcknowledgements& acknowledgements) {
  if (acknowledgements.acknowledged.empty() && acknowledgements.superseded.empty()) {
    return;
  }
  if (to == this->settings.self) {
    this->OnEventAcknowledgements(acknowledgements);
  } else {
    // An allocator that gets no acknowledgement sends its events again.
    (void)this->hooks.send(to, acknowledgements);
  }
}

void StoredJobManager::OnEventAcknowledgements(const RunEventAcknowledgements& acknowledgements) {
  this->event_sender.OnAcknowledgements(acknowledgements);
  this->hooks.acknowledge_events_locally(acknowledgements);
}

}  // namespace sapphirecrank::clusterhost
