#include "entryhost/job_service.h"

#include <utility>

#include "base/mutex_lock.h"
#include "jobs/replica_host_selection.h"
#include "jobs/submission_id_time.h"

namespace sapphirecrank::entryhost {

using base::DataCentreId;
using base::ErrorCode;
using base::ExecutionVerdict;
using base::HostId;
using base::SequenceNumber;
using base::SubmissionId;
using jobs::JobCoordinator;
using jobs::JobResult;
using jobs::Submission;

namespace {

// An owner responds by the deadline plus a bounded wait for the record of the job's end.
constexpr base::Duration kOwnerResponseMargin = std::chrono::seconds(3);

std::optional<base::Duration> SubmissionAge(const SubmissionId& id) {
  const auto created = jobs::ParseCreationTime(id);
  if (!created) {
    return std::nullopt;
  }
  return std::chrono::system_clock::now().time_since_epoch() - *created;
}

}  // namespace

JobService::JobService(jobs::MembershipView::Member self, DataCentreId data_centre, Hooks hooks)
    : self(std::move(self)),
      data_centre(std::move(data_centre)),
      hooks(std::move(hooks)),
      job_placer(this->JobPlacerHooks()),
      job_coordinator(this->self, jobs::JobCoordinatorSettings(), this->JobCoordinatorHooks()) {}

void JobService::Submit(const Submission& submission, const ResultCallback& on_result) {
  const ResultCallback counted_callback =
      this->WithInFlightCount(this->WithTeamTracking(submission, on_result));
  const DataCentreId home = this->HomeDataCentreOf(submission.id);
  if (home == this->data_centre) {
    this->SubmitInDataCentre(submission, counted_callback);
    return;
  }
  const HostId host = this->hooks.select_host_in(home);
  if (host.empty()) {
    this->DeliverUnknownOutcome(
        counted_callback, "no entry host of the submission's home data centre '" + home.value() +
                              "' is reachable; use an id with the home data centre '" +
                              this->data_centre.value() + "' for new work");
    return;
  }
  this->ForwardToHost(host, submission, false, counted_callback);
}

base::TeamId JobService::TeamOfJob(const SubmissionId& submission) {
  base::MutexLock lock(this->mutex);
  auto found = this->teams_of_jobs.find(submission);
  return found == this->teams_of_jobs.end() ? base::TeamId() : found->second;
}

base::Result<void> JobService::CancelJob(const SubmissionId& submission) {
  if (this->job_coordinator.CancelJob(submission)) {
    return {};
  }
  const DataCentreId home = this->HomeDataCentreOf(submission);
  const HostId host = home == this->data_centre ? this->job_coordinator.OwnerOf(submission)
                                                : this->hooks.select_host_in(home);
  const bool is_sent = !host.empty() && host != this->self.host &&
                       this->hooks.send_reliably(host, protocol::CancelSubmission{submission});
  if (!is_sent) {
    return base::MakeErrorResult(
        ErrorCode::kNotFound,
        "this job doesn't run here, and no other entry host could be asked to cancel it",
        "submission", ExecutionVerdict::kMayHaveRun);
  }
  return {};
}

void JobService::OnForwardedSubmission(const HostId& from,
                                       const protocol::ForwardSubmission& message) {
  const ResultCallback on_result = this->WithInFlightCount(
      [this, from, request_number = message.request_number](const JobResult& result) {
        // If the other host has been lost since, its caller resubmits elsewhere with the same id.
        this->hooks.send_reliably(from, protocol::SubmissionResponse{request_number, result});
      });
  const bool is_new = this->job_coordinator.StatusOf(message.submission.id).state ==
                      jobs::JobStatus::State::kUnknown;
  if (is_new && this->hooks.is_leaving()) {
    // Without this, new jobs forwarded by other hosts could delay the end of the drain for ever.
    this->DeliverUnknownOutcome(
        on_result, "the entry host that owns the id is shutting down; submit the job again");
    return;
  }
  this->job_coordinator.Submit(std::make_shared<Submission>(message.submission), on_result);
}

void JobService::OnForwardedResult(const HostId& from,
                                   const protocol::SubmissionResponse& message) {
  ForwardedSubmission entry;
  {
    base::MutexLock lock(this->mutex);
    auto found = this->forwarded_submissions.find(message.request_number);
    if (found == this->forwarded_submissions.end() || found->second.host != from) {
      return;
    }
    entry = std::move(found->second);
    this->forwarded_submissions.erase(found);
  }
  const JobResult& result = message.result;
  const bool has_other_owner = !result.succeeded && result.error.code == ErrorCode::kFenced &&
                               !result.owner.empty() && result.owner != from;
  if (!has_other_owner || entry.is_redirected) {
    entry.on_result(result);
  } else if (result.owner == this->self.host) {
    this->job_coordinator.Submit(std::make_shared<Submission>(entry.submission), entry.on_result);
  } else {
    this->ForwardToHost(result.owner, entry.submission, true, entry.on_result);
  }
}

void JobService::OnJobRecord(const HostId& from, const jobs::JobRecord& record) {
  this->job_coordinator.OnJobRecord(from, record);
}

void JobService::OnRecordAck(const HostId& from, const jobs::RecordAck& ack) {
  this->job_coordinator.OnRecordAck(from, ack);
}

void JobService::OnCancelSubmission(const SubmissionId& submission) {
  this->job_coordinator.CancelJob(submission);
}

bool JobService::OnTaskReport(const HostId& host, const dispatch::TaskReport& report) {
  return this->job_placer.OnReport(host, report);
}

void JobService::OnHostLost(const HostId& host) {
  this->job_placer.OnHostLost(host);
  this->FailForwardedIf(
      [&](const ForwardedSubmission& entry) { return entry.host == host; },
      "the entry host to which the job was forwarded is unreachable or has restarted");
}

void JobService::SetView(const jobs::MembershipView& view) { this->job_coordinator.SetView(view); }

void JobService::Tick() {
  this->job_coordinator.Tick();
  const base::TimePoint now = this->hooks.now();
  this->FailForwardedIf(
      [now](const ForwardedSubmission& entry) { return entry.response_deadline <= now; },
      "the entry host to which the job was forwarded didn't respond in time");
}

void JobService::FailAllForwarded() {
  this->FailForwardedIf([](const ForwardedSubmission&) { return true; }, "the entry host stopped");
}

size_t JobService::SubmissionsInFlight() const { return this->submissions_in_flight; }

JobCoordinator::Hooks JobService::JobCoordinatorHooks() {
  JobCoordinator::Hooks coordinator_hooks;
  coordinator_hooks.now = this->hooks.now;
  coordinator_hooks.check_view_lease = this->hooks.check_view_lease;
  coordinator_hooks.select_replica_hosts = jobs::SelectReplicaHosts;
  coordinator_hooks.submission_age = SubmissionAge;
  coordinator_hooks.send_record = [this](const HostId& host, const jobs::JobRecord& record) {
    this->hooks.send_reliably(host, record);
  };
  coordinator_hooks.send_record_ack = [this](const HostId& host, const jobs::RecordAck& ack) {
    this->hooks.send_reliably(host, ack);
  };
  coordinator_hooks.start_tasks = [this](const auto& starts) {
    this->job_placer.PlaceTasks(starts);
  };
  coordinator_hooks.cancel_tasks = [this](const auto& starts) {
    this->job_placer.CancelTasks(starts);
  };
  coordinator_hooks.may_run_unreplicated = [this](const Submission&) {
    return this->hooks.may_run_unreplicated();
  };
  // FIXME: Without the hook `write_record_to_disk` a host that is alone in its view refuses new
  // jobs, although its disk could store their records.
  return coordinator_hooks;
}

dispatch::JobPlacer::Hooks JobService::JobPlacerHooks() {
  return {this->hooks.host_loads, this->hooks.assign_tasks, this->hooks.cancel_submission,
          [this](const jobs::TaskReport& report) { this->job_coordinator.OnTaskReport(report); }};
}

DataCentreId JobService::HomeDataCentreOf(const SubmissionId& submission) const {
  const std::string& text = submission.value();
  const size_t colon = text.find(':');
  return colon == std::string::npos ? this->data_centre : DataCentreId(text.substr(0, colon));
}

void JobService::SubmitInDataCentre(const Submission& submission, const ResultCallback& on_result) {
  const HostId owner = this->job_coordinator.OwnerOf(submission.id);
  if (owner.empty() || owner == this->self.host) {
    this->job_coordinator.Submit(std::make_shared<Submission>(submission), on_result);
    return;
  }
  this->ForwardToHost(owner, submission, false, on_result);
}

void JobService::ForwardToHost(const HostId& host, const Submission& submission, bool is_redirected,
                               const ResultCallback& on_result) {
  const SequenceNumber request_number(this->next_request_number++);
  {
    base::MutexLock lock(this->mutex);
    this->forwarded_submissions[request_number] = {
        host, submission, this->hooks.now() + submission.time_left + kOwnerResponseMargin,
        is_redirected, on_result};
  }
  if (!this->hooks.send_reliably(host, protocol::ForwardSubmission{request_number, submission})) {
    this->OnForwardedResult(host,
                            {request_number,
                             {false,
                              {ErrorCode::kUnavailable, "",
                               "the entry host to which the job should be forwarded is unreachable",
                               ExecutionVerdict::kMayHaveRun},
                              HostId(),
                              {}}});
  }
}

void JobService::DeliverUnknownOutcome(const ResultCallback& on_result,
                                       const std::string& reason) const {
  // The owner may know the id from an earlier submission, whose tasks may have run.
  JobResult result;
  result.error = {ErrorCode::kUnavailable, "submission", reason, ExecutionVerdict::kMayHaveRun};
  on_result(result);
}

void JobService::FailForwardedIf(const std::function<bool(const ForwardedSubmission&)>& condition,
                                 const std::string& reason) {
  std::vector<ResultCallback> callbacks;
  {
    base::MutexLock lock(this->mutex);
    for (auto it = this->forwarded_submissions.begin(); it != this->forwarded_submissions.end();) {
      if (condition(it->second)) {
        callbacks.push_back(std::move(it->second.on_result));
        it = this->forwarded_submissions.erase(it);
      } else {
        ++it;
      }
    }
  }
  for (const ResultCallback& on_result : callbacks) {
    this->DeliverUnknownOutcome(on_result, reason);
  }
}

JobService::ResultCallback JobService::WithTeamTracking(const Submission& submission,
                                                        const ResultCallback& on_result) {
  {
    base::MutexLock lock(this->mutex);
    this->teams_of_jobs.emplace(submission.id, submission.team);
  }
  return [this, id = submission.id, on_result](const JobResult& result) {
    {
      base::MutexLock lock(this->mutex);
      auto found = this->teams_of_jobs.find(id);
      if (found != this->teams_of_jobs.end()) {
        this->teams_of_jobs.erase(found);
      }
    }
    on_result(result);
  };
}

JobService::ResultCallback JobService::WithInFlightCount(const ResultCallback& on_result) {
  ++this->submissions_in_flight;
  return [this, on_result](const JobResult& result) {
    on_result(result);
    --this->submissions_in_flight;
  };
}

}  // namespace sapphirecrank::entryhost
