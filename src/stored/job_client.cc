#include "stored/job_client.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "base/mutex_lock.h"
#include "stored/job_command.h"

namespace sapphirecrank::stored {

using base::Duration;
using base::HostId;
using base::JobRequestNumber;
using base::MutexLock;
using std::chrono::milliseconds;

namespace {

constexpr size_t kShardCount = 16;
// A leader responds to a submission after its synced write, which takes at most 0.9 s.
constexpr Duration kResendDelay = milliseconds(1000);
// Delay between sends while no host leads. An election takes about 0.5 s.
constexpr Duration kNoLeaderRetryDelay = milliseconds(50);

}  // namespace

JobClient::JobClient(Hooks hooks, JobRequestNumber first_request_number)
    : hooks(std::move(hooks)),
      shards(kShardCount),
      next_request_number(first_request_number.value()) {}

void JobClient::Submit(const gateway::Job& job, Duration time_limit, ResponseCallback callback) {
  JobRequest request;
  request.kind = JobRequest::Kind::kSubmit;
  request.job_id = job.id;
  request.command = JobCommand{JobCommand::Submit{job}}.Encode();
  this->SendRequest(std::move(request), time_limit, std::move(callback));
}

void JobClient::QueryJobState(const base::SubmissionId& id, Duration time_limit,
                              ResponseCallback callback) {
  JobRequest request;
  request.kind = JobRequest::Kind::kQueryState;
  request.job_id = id;
  this->SendRequest(std::move(request), time_limit, std::move(callback));
}

void JobClient::Cancel(const base::SubmissionId& id, Duration time_limit,
                       ResponseCallback callback) {
  JobRequest request;
  request.kind = JobRequest::Kind::kCancel;
  request.job_id = id;
  this->SendRequest(std::move(request), time_limit, std::move(callback));
}

void JobClient::CountPendingJobs(const base::QueueId& queue, Duration time_limit,
                                 ResponseCallback callback) {
  JobRequest request;
  request.kind = JobRequest::Kind::kCountPendingJobs;
  request.queue = queue;
  this->SendRequest(std::move(request), time_limit, std::move(callback));
}

void JobClient::SendRequest(JobRequest request, Duration time_limit, ResponseCallback callback) {
  const JobRequestNumber request_number(this->next_request_number++);
  request.request_number = request_number;
  const base::TimePoint now = this->hooks.now();
  this->shards.WithShard(request_number, [&](Shard& shard) {
    PendingRequest& pending = shard[request_number];
    pending.request = std::move(request);
    pending.callback = std::move(callback);
    pending.deadline = now + time_limit;
    pending.next_send_at = now;
  });
  this->SendIfDue(request_number);
}

HostId JobClient::ChooseNextAllocator(const HostId& last) {
  const std::vector<HostId> hosts = this->hooks.reachable_allocators();
  {
    MutexLock lock(this->leader_mutex);
    if (this->leader != last &&
        std::find(hosts.begin(), hosts.end(), this->leader) != hosts.end()) {
      return this->leader;
    }
  }
  const auto next = std::upper_bound(hosts.begin(), hosts.end(), last);
  if (hosts.empty()) {
    return {};
  }
  return next == hosts.end() ? hosts.front() : *next;
}

void JobClient::SendIfDue(JobRequestNumber request_number) {
  HostId last;
  JobRequest request;
  const base::TimePoint now = this->hooks.now();
  const bool is_due = this->shards.WithShard(request_number, [&](Shard& shard) {
    auto found = shard.find(request_number);
    if (found == shard.end() || now < found->second.next_send_at) {
      return false;
    }
    found->second.next_send_at = now + kNoLeaderRetryDelay;
    last = found->second.sent_to;
    request = found->second.request;
    return true;
  });
  const HostId host = is_due ? this->ChooseNextAllocator(last) : HostId();
  if (host.empty()) {
    return;
  }
  // Updated before the request is sent, because the response may come before `send_request`
  // returns.
  this->shards.WithShard(request_number, [&](Shard& shard) {
    auto found = shard.find(request_number);
    if (found != shard.end()) {
      found->second.sent_to = host;
      found->second.next_send_at = now + kResendDelay;
      ++found->second.unanswered_send_count;
    }
  });
  if (this->hooks.send_request(host, request)) {
    return;
  }
  this->shards.WithShard(request_number, [&](Shard& shard) {
    auto found = shard.find(request_number);
    if (found != shard.end()) {
      found->second.next_send_at = now + kNoLeaderRetryDelay;
      --found->second.unanswered_send_count;
    }
  });
}

void JobClient::OnResponse(const HostId& from, const JobResponse& received_response) {
  JobResponse response = received_response;
  std::optional<ResponseCallback> callback;
  const bool is_not_leader = response.outcome == JobResponse::Outcome::kNotLeader;
  {
    MutexLock lock(this->leader_mutex);
    this->leader = is_not_leader ? response.leader : from;
  }
  this->shards.WithShard(response.request_number, [&](Shard& shard) {
    auto found = shard.find(response.request_number);
    if (found == shard.end()) {
      return;
    }
    PendingRequest& pending = found->second;
    --pending.unanswered_send_count;
    if (is_not_leader) {
      pending.next_send_at = this->hooks.now();
      if (response.leader.empty() || response.leader == from) {
        pending.next_send_at += kNoLeaderRetryDelay;
      }
      return;
    }
    if (response.outcome == JobResponse::Outcome::kRefused && pending.unanswered_send_count > 0) {
      // An allocator that has not responded may have accepted the request that this one refuses.
      response.outcome = JobResponse::Outcome::kUncertain;
    }
    callback = std::move(pending.callback);
    shard.erase(found);
  });
  if (callback) {
    (*callback)(response);
  } else if (is_not_leader) {
    this->SendIfDue(response.request_number);
  }
}

void JobClient::OnAllocatorLost(const HostId& host) {
  const base::TimePoint now = this->hooks.now();
  this->shards.ForEachShard([&](Shard& shard) {
    for (auto& [request_number, pending] : shard) {
      if (pending.sent_to == host) {
        pending.next_send_at = now;
      }
    }
  });
}

void JobClient::Tick() {
  const base::TimePoint now = this->hooks.now();
  std::vector<JobRequestNumber> due;
  std::vector<std::pair<ResponseCallback, JobResponse>> expired;
  this->shards.ForEachShard([&](Shard& shard) {
    for (auto found = shard.begin(); found != shard.end();) {
      auto next = std::next(found);
      PendingRequest& pending = found->second;
      if (now >= pending.deadline) {
        JobResponse response;
        response.request_number = found->first;
        response.outcome = pending.unanswered_send_count > 0 ? JobResponse::Outcome::kUncertain
                                                             : JobResponse::Outcome::kRefused;
        expired.emplace_back(std::move(pending.callback), response);
        shard.erase(found);
      } else if (now >= pending.next_send_at) {
        due.push_back(found->first);
      }
      found = next;
    }
  });
  for (const auto& [callback, response] : expired) {
    callback(response);
  }
  for (const JobRequestNumber request_number : due) {
    this->SendIfDue(request_number);
  }
}

size_t JobClient::PendingRequestCount() {
  size_t count = 0;
  this->shards.ForEachShard([&count](Shard& shard) { count += shard.size(); });
  return count;
}

}  // namespace sapphirecrank::stored
