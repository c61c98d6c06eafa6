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
// A leader answers a submission after its synced write, within 0.9 s at the latest.
constexpr Duration kResendDelay = milliseconds(1000);
// Pause while no host leads; an election takes about half a second.
constexpr Duration kNoLeaderRetryDelay = milliseconds(50);

}  // namespace

JobClient::JobClient(Hooks hooks) : hooks(std::move(hooks)), shards(kShardCount) {}

void JobClient::Submit(const gateway::Job& job, Duration limit, ReplyCallback answer) {
  JobRequest request;
  request.kind = JobRequest::Kind::kSubmit;
  request.job_id = job.id;
  request.command = JobCommand{JobCommand::Submit{job}}.Encode();
  this->SendRequest(std::move(request), limit, std::move(answer));
}

void JobClient::QueryJobState(const base::SubmissionId& id, Duration limit, ReplyCallback answer) {
  JobRequest request;
  request.kind = JobRequest::Kind::kQueryState;
  request.job_id = id;
  this->SendRequest(std::move(request), limit, std::move(answer));
}

void JobClient::Cancel(const base::SubmissionId& id, Duration limit, ReplyCallback answer) {
  JobRequest request;
  request.kind = JobRequest::Kind::kCancel;
  request.job_id = id;
  this->SendRequest(std::move(request), limit, std::move(answer));
}

void JobClient::CountPendingJobs(const base::QueueId& queue, Duration limit, ReplyCallback answer) {
  JobRequest request;
  request.kind = JobRequest::Kind::kCountPendingJobs;
  request.queue = queue;
  this->SendRequest(std::move(request), limit, std::move(answer));
}

void JobClient::SendRequest(JobRequest request, Duration limit, ReplyCallback answer) {
  const JobRequestNumber number(++this->last_request_number);
  request.request_number = number;
  const base::TimePoint now = this->hooks.now();
  this->shards.WithShard(number, [&](Shard& shard) {
    PendingRequest& entry = shard[number];
    entry.request = std::move(request);
    entry.callback = std::move(answer);
    entry.deadline = now + limit;
    entry.next_send_at = now;
  });
  this->SendIfDue(number);
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

void JobClient::SendIfDue(JobRequestNumber number) {
  HostId last;
  JobRequest request;
  const base::TimePoint now = this->hooks.now();
  const bool is_due = this->shards.WithShard(number, [&](Shard& shard) {
    auto found = shard.find(number);
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
  // Set before the request is out: the reply may come before `send` returns.
  this->shards.WithShard(number, [&](Shard& shard) {
    auto found = shard.find(number);
    if (found != shard.end()) {
      found->second.sent_to = host;
      found->second.next_send_at = now + kResendDelay;
      ++found->second.unanswered_send_count;
    }
  });
  if (this->hooks.send_request(host, request)) {
    return;
  }
  this->shards.WithShard(number, [&](Shard& shard) {
    auto found = shard.find(number);
    if (found != shard.end()) {
      found->second.next_send_at = now + kNoLeaderRetryDelay;
      --found->second.unanswered_send_count;
    }
  });
}

void JobClient::OnReply(const HostId& from, const JobReply& received) {
  JobReply reply = received;
  std::optional<ReplyCallback> answer;
  const bool is_elsewhere = reply.outcome == JobReply::Outcome::kNotLeader;
  {
    MutexLock lock(this->leader_mutex);
    this->leader = is_elsewhere ? reply.leader : from;
  }
  this->shards.WithShard(reply.request_number, [&](Shard& shard) {
    auto found = shard.find(reply.request_number);
    if (found == shard.end()) {
      return;
    }
    PendingRequest& entry = found->second;
    --entry.unanswered_send_count;
    if (is_elsewhere) {
      entry.next_send_at = this->hooks.now();
      if (reply.leader.empty() || reply.leader == from) {
        entry.next_send_at += kNoLeaderRetryDelay;
      }
      return;
    }
    if (reply.outcome == JobReply::Outcome::kRefused && entry.unanswered_send_count > 0) {
      // Another allocator may have accepted what this one refuses.
      reply.outcome = JobReply::Outcome::kUncertain;
    }
    answer = std::move(entry.callback);
    shard.erase(found);
  });
  if (answer) {
    (*answer)(reply);
  } else if (is_elsewhere) {
    this->SendIfDue(reply.request_number);
  }
}

void JobClient::OnAllocatorLost(const HostId& host) {
  const base::TimePoint now = this->hooks.now();
  this->shards.ForEachShard([&](Shard& shard) {
    for (auto& [number, entry] : shard) {
      if (entry.sent_to == host) {
        entry.next_send_at = now;
      }
    }
  });
}

void JobClient::Tick() {
  const base::TimePoint now = this->hooks.now();
  std::vector<JobRequestNumber> due;
  std::vector<std::pair<ReplyCallback, JobReply>> expired;
  this->shards.ForEachShard([&](Shard& shard) {
    for (auto found = shard.begin(); found != shard.end();) {
      auto next = std::next(found);
      PendingRequest& entry = found->second;
      if (now >= entry.deadline) {
        JobReply reply;
        reply.request_number = found->first;
        reply.outcome = entry.unanswered_send_count > 0 ? JobReply::Outcome::kUncertain
                                                        : JobReply::Outcome::kRefused;
        expired.emplace_back(std::move(entry.callback), reply);
        shard.erase(found);
      } else if (now >= entry.next_send_at) {
        due.push_back(found->first);
      }
      found = next;
    }
  });
  for (const auto& [answer, reply] : expired) {
    answer(reply);
  }
  for (const JobRequestNumber number : due) {
    this->SendIfDue(number);
  }
}

size_t JobClient::PendingRequestCount() {
  size_t count = 0;
  this->shards.ForEachShard([&count](Shard& shard) { count += shard.size(); });
  return count;
}

}  // namespace sapphirecrank::stored
