#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <vector>

#include "base/mutex.h"
#include "base/sharded.h"
#include "base/thread_annotations.h"
#include "base/time.h"
#include "gateway/job.h"
#include "stored/job_reply.h"
#include "stored/job_request.h"

namespace sapphirecrank::stored {

/// Passes requests about stored jobs from a gateway to the allocator that keeps them.
///
/// A request that gets no answer is sent again, to another allocator; all of them may be repeated.
/// Thread safety: all methods may be called from any thread; state is in shards by request. Hooks
/// and answers run without a lock.
class JobClient {
 public:
  using ReplyCallback = std::function<void(const JobReply&)>;

  /// Behaviour handed in; all members must be set.
  struct Hooks {
    base::Clock now;
    /// Returns the allocators in reach.
    std::function<std::vector<base::HostId>()> reachable_allocators;
    /// Sends a request; false means that it was surely not sent.
    std::function<bool(const base::HostId&, const JobRequest&)> send_request;
  };

  explicit JobClient(Hooks hooks);

  // Each runs `answer` exactly once, within `limit` and the interval of `Tick`; never with the
  // outcome `kNotLeader`.
  void Submit(const gateway::Job& job, base::Duration limit, ReplyCallback answer);
  void QueryJobState(const base::SubmissionId& id, base::Duration limit, ReplyCallback answer);
  void Cancel(const base::SubmissionId& id, base::Duration limit, ReplyCallback answer);
  void CountPendingJobs(const base::QueueId& queue, base::Duration limit, ReplyCallback answer);

  void OnReply(const base::HostId& from, const JobReply& reply);

  /// Asks another allocator what the lost one was asked.
  void OnAllocatorLost(const base::HostId& host);

  /// Does what is due by time. To be called several times in 100 ms.
  void Tick();

  /// Returns the number of requests without an answer.
  size_t PendingRequestCount();

 private:
  struct PendingRequest {
    JobRequest request;
    ReplyCallback callback;
    base::TimePoint deadline;
    /// The request is sent again then.
    base::TimePoint next_send_at;
    base::HostId sent_to;
    /// Times that the request was sent without a reply: it may have been carried out if there are
    /// any.
    int unanswered_send_count = 0;
  };
  using Shard = std::map<base::JobRequestNumber, PendingRequest>;

  void SendRequest(JobRequest request, base::Duration limit, ReplyCallback answer);
  void SendIfDue(base::JobRequestNumber number);
  base::HostId ChooseNextAllocator(const base::HostId& last);

  Hooks hooks;
  base::Sharded<base::JobRequestNumber, Shard> shards;
  std::atomic<uint64_t> last_request_number{0};
  base::Mutex leader_mutex;
  base::HostId leader GUARDED_BY(leader_mutex);
};

}  // namespace sapphirecrank::stored
