#include "clusterhost/stored_job_manager.h"

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
using stored::JobReply;
using stored::JobRequest;
using stored::JobScheduler;
using stored::JobState;

namespace {

// Payloads of open jobs are in memory, in the log and in its snapshot; hosts have 256 MB.
constexpr base::ByteCount kMaximumPayloadBytes(24LL << 20);

const char* OutcomeName(JobReply::Outcome outcome) {
  switch (outcome) {
    case JobReply::Outcome::kDone:
      return "done";
    case JobReply::Outcome::kRefused:
      return "refused";
    case JobReply::Outcome::kUncertain:
      return "uncertain";
    case JobReply::Outcome::kNotLeader:
      return "other_leader";
  }
  return "uncertain";
}

JobReply::Outcome ReplyOutcomeOf(ProposalOutcome outcome) {
  switch (outcome) {
    case ProposalOutcome::kCommitted:
      return JobReply::Outcome::kDone;
    case ProposalOutcome::kNotLeader:
      return JobReply::Outcome::kNotLeader;
    case ProposalOutcome::kUnknown:
      break;
  }
  return JobReply::Outcome::kUncertain;
}

}  // namespace

StoredJobManager::StoredJobManager(const Settings& settings, Hooks hooks,
                                   observability::Logger& logger)
    : settings(settings),
      hooks(std::move(hooks)),
      logger(logger),
      allocator_selector(this->settings.data_centre),
      state_machine(
          [this](const std::vector<SubmissionId>& ids) { this->scheduler.OnJobsChanged(ids); }),
      scheduler({this->settings.self, this->settings.job_retention}, this->state_machine,
                this->SchedulerHooks()),
      event_sender({this->hooks.now, [this](const runs::RunEvents& message) {
                      const HostId leader = this->hooks.leader();
                      if (leader == this->settings.self) {
                        this->HandleRunEvents(leader, message);
                      } else if (!leader.empty()) {
                        // Notices without an answer are sent again.
                        (void)this->hooks.send(leader, message);
                      }
                    }}) {}

JobScheduler::Hooks StoredJobManager::SchedulerHooks() {
  JobScheduler::Hooks runner_hooks;
  runner_hooks.now = this->hooks.now;
  runner_hooks.choose_allocator = [this](const base::ServiceId& service, base::TaskCount count) {
    return this->allocator_selector.ChooseAllocatorWithoutFullBacklog(service, count);
  };
  runner_hooks.place_batch = [this](const HostId& host, const runs::TaskBatch& part) {
    if (host == this->settings.self) {
      this->hooks.place_batch_locally(part);
      return true;
    }
    return this->hooks.send(host, part);
  };
  runner_hooks.cancel_job = [this](const HostId& host, const SubmissionId& job) {
    if (host == this->settings.self) {
      this->hooks.cancel_job_locally(job);
    } else {
      // A host out of reach stops the runs of a keeper that is silent by itself.
      (void)this->hooks.send(host, runs::BatchCancel{job});
    }
  };
  runner_hooks.remove_job_records = [this](const std::vector<SubmissionId>& ids) {
    this->hooks.propose_job_change(JobCommand{JobCommand::RemoveRecords{ids}}.Encode(),
                                   [](ProposalOutcome /*outcome*/) {});
  };
  runner_hooks.on_leadership_change = [this](bool leads) {
    this->logger.Info(leads ? "running the stored jobs" : "stored jobs given up");
  };
  return runner_hooks;
}

bool StoredJobManager::OnMessage(const HostId& from, const protocol::Message& message) {
  if (const auto* request = std::get_if<JobRequest>(&message)) {
    this->OnJobRequest(from, *request);
  } else if (const auto* notices = std::get_if<runs::RunEvents>(&message)) {
    this->HandleRunEvents(from, *notices);
  } else if (const auto* answers = std::get_if<RunEventAcknowledgements>(&message)) {
    this->OnEventAcknowledgements(*answers);
  } else if (const auto* report = std::get_if<runs::CapacityReport>(&message)) {
    this->OnCapacityReport(from, *report);
  } else if (const auto* end = std::get_if<runs::BatchResult>(&message)) {
    this->OnBatchEnd(from, *end);
  } else {
    return false;
  }
  return true;
}

void StoredJobManager::OnHostLost(const HostId& host) {
  this->allocator_selector.OnAllocatorLost(host);
  this->scheduler.OnAllocatorLost(host);
}

void StoredJobManager::OnBatchEnd(const HostId& allocator, const runs::BatchResult& end) {
  this->scheduler.OnBatchEnd(allocator, end);
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
    this->SendReply(from, request, JobReply::Outcome::kNotLeader);
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
      this->SendReply(from, request, JobReply::Outcome::kDone);
      return;
  }
}

void StoredJobManager::SubmitJob(const HostId& from, const JobRequest& request) {
  if (this->scheduler.JobStateOf(request.job_id) != JobState::kUnknown) {
    this->SendReply(from, request, JobReply::Outcome::kDone);
    return;
  }
  const auto command = JobCommand::Decode(request.command);
  const bool is_submission = command && std::holds_alternative<JobCommand::Submit>(command->change);
  if (!is_submission || this->state_machine.PayloadBytes() >= kMaximumPayloadBytes) {
    this->SendReply(from, request, JobReply::Outcome::kRefused);
    return;
  }
  this->ProposeChange(from, request, request.command);
}

void StoredJobManager::CancelJob(const HostId& from, const JobRequest& request) {
  if (this->scheduler.JobStateOf(request.job_id) == JobState::kUnknown) {
    this->SendReply(from, request, JobReply::Outcome::kDone);
    return;
  }
  this->ProposeChange(from, request, JobCommand{JobCommand::Cancel{request.job_id}}.Encode());
}

void StoredJobManager::ProposeChange(const HostId& from, const JobRequest& request,
                                     std::string command) {
  this->hooks.propose_job_change(std::move(command),
                                 [this, from, request](ProposalOutcome outcome) {
                                   this->SendReply(from, request, ReplyOutcomeOf(outcome));
                                 });
}

void StoredJobManager::SendReply(const HostId& to, const JobRequest& request,
                                 JobReply::Outcome outcome) {
  JobReply reply;
  reply.request_number = request.request_number;
  reply.outcome = outcome;
  if (outcome == JobReply::Outcome::kNotLeader) {
    reply.leader = this->hooks.leader();
  } else if (request.kind == JobRequest::Kind::kCountPendingJobs) {
    reply.pending_job_count =
        base::TaskCount(static_cast<int64_t>(this->scheduler.PendingJobCount(request.queue)));
  } else {
    reply.state = this->scheduler.JobStateOf(request.job_id);
  }
  if (request.kind == JobRequest::Kind::kSubmit || request.kind == JobRequest::Kind::kCancel) {
    this->LogRequest(to, request, OutcomeName(outcome));
  }
  // A gateway without a reply asks again.
  (void)this->hooks.send(to, reply);
}

void StoredJobManager::LogRequest(const HostId& from, const JobRequest& request,
                                  const std::string& outcome) {
  const bool is_submission = request.kind == JobRequest::Kind::kSubmit;
  this->logger.Info(is_submission ? "stored job submitted" : "stored job cancelled",
                    {{"job", request.job_id.value()},
                     {"gateway", from.value()},
                     {"request", std::to_string(request.request_number.value())},
                     {"outcome", outcome}});
}

void StoredJobManager::HandleRunEvents(const HostId& from, const runs::RunEvents& message) {
  if (!this->scheduler.IsLeading()) {
    return;  // They are sent again, to the host that leads by then.
  }
  RunEventAcknowledgements answers;
  RunEventAcknowledgements proposed;
  JobCommand::RecordOutcomes change;
  for (const RunEvent& notice : message.events) {
    switch (this->scheduler.ClassifyRunEvent(notice)) {
      case JobScheduler::EventDisposition::kAcknowledge:
        answers.acknowledged.push_back(notice);
        break;
      case JobScheduler::EventDisposition::kSuperseded:
        answers.superseded.push_back(notice);
        break;
      case JobScheduler::EventDisposition::kPropose:
        proposed.acknowledged.push_back(notice);
        change.outcomes.push_back({notice.key, notice.kind == RunEvent::Kind::kSucceeded});
        break;
    }
  }
  if (!answers.acknowledged.empty() || !answers.superseded.empty()) {
    this->AcknowledgeRunEvents(from, answers);
  }
  if (change.outcomes.empty()) {
    return;
  }
  this->hooks.propose_job_change(JobCommand{change}.Encode(),
                                 [this, from, proposed](ProposalOutcome outcome) {
                                   if (outcome == ProposalOutcome::kCommitted) {
                                     this->AcknowledgeRunEvents(from, proposed);
                                   }
                                 });
}

void StoredJobManager::AcknowledgeRunEvents(const HostId& to,
                                            const RunEventAcknowledgements& answers) {
  if (to == this->settings.self) {
    this->OnEventAcknowledgements(answers);
  } else {
    // An allocator without an answer sends its notices again.
    (void)this->hooks.send(to, answers);
  }
}

void StoredJobManager::OnEventAcknowledgements(const RunEventAcknowledgements& answers) {
  this->event_sender.OnAcknowledgements(answers);
  this->hooks.acknowledge_events_locally(answers);
}

}  // namespace sapphirecrank::clusterhost
