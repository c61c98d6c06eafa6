#include "jobs/replica_host_selection.h"

#include <algorithm>
#include <cstdint>

#include "base/rendezvous_hash.h"

namespace sapphirecrank::jobs {

ReplicaHosts SelectReplicaHosts(const base::SubmissionId& id,
                                const std::vector<base::HostId>& hosts) {
  const base::HostId* first = nullptr;
  const base::HostId* second = nullptr;
  uint64_t first_score = 0;
  uint64_t second_score = 0;
  for (const base::HostId& host : hosts) {
    uint64_t score = base::RendezvousScore(host.value(), id.value());
    // Equal scores are ordered by host id, so that the result doesn't depend on the order of
    // `hosts`.
    if (first == nullptr || score > first_score || (score == first_score && host < *first)) {
      second = first;
      second_score = first_score;
      first = &host;
      first_score = score;
    } else if (second == nullptr || score > second_score ||
               (score == second_score && host < *second)) {
      second = &host;
      second_score = score;
    }
  }
  ReplicaHosts replica_hosts;
  replica_hosts.owner = *first;
  replica_hosts.backup = second == nullptr ? base::HostId() : *second;
  return replica_hosts;
}

}  // namespace sapphirecrank::jobs
