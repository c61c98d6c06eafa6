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
#include "stored/job_request.h"
#include "stored/job_response.h"

namespace sapphirecrank::stored {

/// Sends requests about stored jobs from a gateway to the allocator that leads the group.
///
/// A request without a response is sent again, to another allocator; all requests are idempotent.
/// Thread safety: all methods may be called from any thread. State is sharded by request number.
/// The hook `now` may run under the lock of a shard; the other hooks and the callbacks run without
/// a lock.
class JobClient {
 public:
  using ResponseCallback = std::function<void(const JobResponse&)>;

  /// Behaviour that the owner supplies; all members must be set.
  struct Hooks {
    base::Clock now;
    /// Returns the reachable allocators in ascending order of their ids.
    std::function<std::vector<base::HostId>()> reachable_allocators;
    /// Sends a request. Returns false only if the request was certainly not sent.
    std::function<bool(const base::HostId&, const JobRequest&)> send_request;
  };

  /// Requests are numbered from `first_request_number`, which has to differ much between the
  /// processes that use one address: a response is matched by its number only, and may be late.
  explicit JobClient(Hooks hooks,
                     base::JobRequestNumber first_request_number = base::JobRequestNumber(1));

  // Each method runs `callback` exactly once, at the latest `time_limit` plus one interval of
  // `Tick` after the call. The outcome is never `kNotLeader`.
  void Submit(const gateway::Job& job, base::Duration time_limit, ResponseCallback callback);
  void QueryJobState(const base::SubmissionId& id, base::Duration time_limit,
                     ResponseCallback callback);
  void Cancel(const base::SubmissionId& id, base::Duration time_limit, ResponseCallback callback);
  void CountPendingJobs(const base::QueueId& queue, base::Duration time_limit,
                        ResponseCallback callback);

  /// Handles a response. One to a request that isn't pending any more is ignored.
  void OnResponse(const base::HostId& from, const JobResponse& response);

  /// Makes the requests that were sent to a lost allocator due for sending to another one.
  void OnAllocatorLost(const base::HostId& host);

  /// Ends requests whose time limit has passed and sends due ones again. Must be called several
  /// times per 100 ms.
  void Tick();

  /// Returns the number of requests without a final response.
  size_t PendingRequestCount();

 private:
  struct PendingRequest {
    JobRequest request;
    ResponseCallback callback;
    base::TimePoint deadline;
    /// When the request is sent next.
    base::TimePoint next_send_at;
    base::HostId sent_to;
    /// Number of sends without a response. If it is above 0, the request may have been carried out.
    int unanswered_send_count = 0;
  };
  using Shard = std::map<base::JobRequestNumber, PendingRequest>;

  void SendRequest(JobRequest request, base::Duration time_limit, ResponseCallback callback);
  void SendIfDue(base::JobRequestNumber request_number);
  base::HostId ChooseNextAllocator(const base::HostId& last);

  Hooks hooks;
  base::Sharded<base::JobRequestNumber, Shard> shards;
  std::atomic<uint64_t> next_request_number;
  base::Mutex leader_mutex;
  base::HostId leader GUARDED_BY(leader_mutex);
};

}  // namespace sapphirecrank::stored
