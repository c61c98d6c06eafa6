#include "entryhost/job_service.h"

#include <utility>

#include "base/mutex_lock.h"
#include "jobs/rendezvous_holders.h"
#include "jobs/submission_id_time.h"

namespace sapphirecrank::entryhost {

using base::DataCentreId;
using base::ErrorCode;
using base::HostId;
using base::Sequence;
using base::SubmissionId;
using base::Verdict;
using jobs::JobCoordinator;
using jobs::JobResult;
using jobs::Submission;

namespace {

// An owner answers by the deadline and a bounded wait for the record of the end.
constexpr base::Duration kAnswerMargin = std::chrono::seconds(3);

std::optional<base::Duration> AgeOf(const SubmissionId& id) {
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
      placer(this->PlacerHooks()),
      ledger(this->self, jobs::JobCoordinatorSettings(), this->LedgerHooks()) {}

void JobService::Submit(const Submission& submission, const ResultCallback& on_answer) {
  const ResultCallback counted = this->Counted(this->WithTeam(submission, on_answer));
  const DataCentreId home = this->HomeOf(submission.id);
  if (home == this->data_centre) {
    this->SubmitHere(submission, counted);
    return;
  }
  const HostId host = this->hooks.host_in(home);
  if (host.empty()) {
    this->AnswerUnknown(counted, "no entry host of the id's home data centre '" + home.value() +
                                     "' answers; use an id with the home '" +
                                     this->data_centre.value() + "' for new work");
    return;
  }
  this->Forward(host, submission, false, counted);
}

base::TeamId JobService::TeamOf(const SubmissionId& submission) {
  base::MutexLock lock(this->mutex);
  auto found = this->teams.find(submission);
  return found == this->teams.end() ? base::TeamId() : found->second;
}

base::Result<void> JobService::Cancel(const SubmissionId& submission) {
  if (this->ledger.CancelJob(submission)) {
    return {};
  }
  const DataCentreId home = this->HomeOf(submission);
  const HostId host =
      home == this->data_centre ? this->ledger.OwnerOf(submission) : this->hooks.host_in(home);
  const bool is_sent = !host.empty() && host != this->self.host &&
                       this->hooks.send(host, protocol::CancelSubmission{submission});
  if (!is_sent) {
    return base::Fail(ErrorCode::kNotFound, "no such job runs here", "submission",
                      Verdict::kMayHaveRun);
  }
  return {};
}

void JobService::OnForwarded(const HostId& from, const protocol::ForwardSubmission& message) {
  const ResultCallback answer =
      this->Counted([this, from, request = message.request](const JobResult& job_answer) {
        // If the other host was lost meanwhile, its caller asks again elsewhere with the same id.
        this->hooks.send(from, protocol::SubmissionAnswer{request, job_answer});
      });
  const bool is_new =
      this->ledger.StatusOf(message.submission.id).state == jobs::JobStatus::State::kUnknown;
  if (is_new && this->hooks.is_leaving()) {
    // Otherwise new jobs from other hosts would keep this one from ever finishing its shutdown.
    this->AnswerUnknown(answer,
                        "the entry host that owns the id is shutting down; submit it again");
    return;
  }
  this->ledger.Submit(std::make_shared<Submission>(message.submission), answer);
}

void JobService::OnAnswered(const HostId& from, const protocol::SubmissionAnswer& message) {
  Forwarded entry;
  {
    base::MutexLock lock(this->mutex);
    auto found = this->forwarded.find(message.request);
    if (found == this->forwarded.end() || found->second.host != from) {
      return;
    }
    entry = std::move(found->second);
    this->forwarded.erase(found);
  }
  const JobResult& answer = message.answer;
  const bool has_other_owner = !answer.succeeded && answer.error.code == ErrorCode::kFenced &&
                               !answer.owner.empty() && answer.owner != from;
  if (!has_other_owner || entry.is_second) {
    entry.on_answer(answer);
  } else if (answer.owner == this->self.host) {
    this->ledger.Submit(std::make_shared<Submission>(entry.submission), entry.on_answer);
  } else {
    this->Forward(answer.owner, entry.submission, true, entry.on_answer);
  }
}

void JobService::OnRecord(const HostId& from, const jobs::JobRecord& record) {
  this->ledger.OnJobRecord(from, record);
}

void JobService::OnRecordAck(const HostId& from, const jobs::RecordAck& ack) {
  this->ledger.OnRecordAck(from, ack);
}

void JobService::OnCancel(const SubmissionId& submission) { this->ledger.CancelJob(submission); }

bool JobService::OnReport(const HostId& host, const dispatch::TaskReport& report) {
  return this->placer.OnReport(host, report);
}

void JobService::OnHostLost(const HostId& host) {
  this->placer.OnHostLost(host);
  this->EndIf([&](const Forwarded& entry) { return entry.host == host; },
              "the entry host that owns the job was lost");
}

void JobService::SetView(const jobs::MembershipView& view) { this->ledger.SetView(view); }

void JobService::Tick() {
  this->ledger.Tick();
  const base::TimePoint now = this->hooks.now();
  this->EndIf([now](const Forwarded& entry) { return entry.give_up_at <= now; },
              "the entry host that owns the job didn't answer in time");
}

void JobService::EndAll() {
  this->EndIf([](const Forwarded&) { return true; }, "the entry host stopped");
}

size_t JobService::InFlight() const { return this->open_answers; }

JobCoordinator::Hooks JobService::LedgerHooks() {
  JobCoordinator::Hooks ledger_hooks;
  ledger_hooks.now = this->hooks.now;
  ledger_hooks.check_view_lease = this->hooks.may_act;
  ledger_hooks.select_replica_hosts = jobs::SelectReplicaHosts;
  ledger_hooks.submission_age = AgeOf;
  ledger_hooks.send_record = [this](const HostId& host, const jobs::JobRecord& record) {
    this->hooks.send(host, record);
  };
  ledger_hooks.send_record_ack = [this](const HostId& host, const jobs::RecordAck& ack) {
    this->hooks.send(host, ack);
  };
  ledger_hooks.start_tasks = [this](const auto& starts) { this->placer.PlaceTasks(starts); };
  ledger_hooks.cancel_tasks = [this](const auto& starts) { this->placer.CancelTasks(starts); };
  ledger_hooks.may_run_unreplicated = [this](const Submission&) {
    return this->hooks.may_run_unreplicated();
  };
  // FIXME: without `write_disk` a host that is alone in its view refuses new jobs, although its
  // disk could hold the record.
  return ledger_hooks;
}

dispatch::JobPlacer::Hooks JobService::PlacerHooks() {
  return {this->hooks.loads, this->hooks.assign, this->hooks.cancel,
          [this](const jobs::TaskReport& report) { this->ledger.OnTaskReport(report); }};
}

DataCentreId JobService::HomeOf(const SubmissionId& submission) const {
  const std::string& text = submission.value();
  const size_t colon = text.find(':');
  return colon == std::string::npos ? this->data_centre : DataCentreId(text.substr(0, colon));
}

void JobService::SubmitHere(const Submission& submission, const ResultCallback& on_answer) {
  const HostId owner = this->ledger.OwnerOf(submission.id);
  if (owner.empty() || owner == this->self.host) {
    this->ledger.Submit(std::make_shared<Submission>(submission), on_answer);
    return;
  }
  this->Forward(owner, submission, false, on_answer);
}

void JobService::Forward(const HostId& host, const Submission& submission, bool is_second,
                         const ResultCallback& on_answer) {
  const Sequence request(this->next_request++);
  {
    base::MutexLock lock(this->mutex);
    this->forwarded[request] = {host, submission,
                                this->hooks.now() + submission.time_left + kAnswerMargin, is_second,
                                on_answer};
  }
  if (!this->hooks.send(host, protocol::ForwardSubmission{request, submission})) {
    this->OnAnswered(
        host, {request,
               {false,
                {ErrorCode::kUnavailable, "", "the entry host that owns the job doesn't answer",
                 Verdict::kMayHaveRun},
                HostId(),
                {}}});
  }
}

void JobService::AnswerUnknown(const ResultCallback& on_answer, const std::string& reason) const {
  // The id may be known at its owner from an earlier submission, whose tasks may have run.
  JobResult answer;
  answer.error = {ErrorCode::kUnavailable, "submission", reason, Verdict::kMayHaveRun};
  on_answer(answer);
}

void JobService::EndIf(const std::function<bool(const Forwarded&)>& condition,
                       const std::string& reason) {
  std::vector<ResultCallback> ended;
  {
    base::MutexLock lock(this->mutex);
    for (auto it = this->forwarded.begin(); it != this->forwarded.end();) {
      if (condition(it->second)) {
        ended.push_back(std::move(it->second.on_answer));
        it = this->forwarded.erase(it);
      } else {
        ++it;
      }
    }
  }
  for (const ResultCallback& on_answer : ended) {
    this->AnswerUnknown(on_answer, reason);
  }
}

JobService::ResultCallback JobService::WithTeam(const Submission& submission,
                                                const ResultCallback& on_answer) {
  {
    base::MutexLock lock(this->mutex);
    this->teams.emplace(submission.id, submission.team);
  }
  return [this, id = submission.id, on_answer](const JobResult& answer) {
    {
      base::MutexLock lock(this->mutex);
      auto found = this->teams.find(id);
      if (found != this->teams.end()) {
        this->teams.erase(found);
      }
    }
    on_answer(answer);
  };
}

JobService::ResultCallback JobService::Counted(const ResultCallback& on_answer) {
  ++this->open_answers;
  return [this, on_answer](const JobResult& answer) {
    on_answer(answer);
    --this->open_answers;
  };
}

}  // namespace sapphirecrank::entryhost
