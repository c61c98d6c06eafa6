#pragma once

#include <vector>

#include "base/ids.h"
#include "jobs/replica_hosts.h"

namespace sapphirecrank::jobs {

/// Returns the two hosts with the highest rendezvous scores for an id. Precondition: `hosts` isn't
/// empty. Thread safety: pure.
ReplicaHosts SelectReplicaHosts(const base::SubmissionId& id,
                                const std::vector<base::HostId>& hosts);

}  // namespace sapphirecrank::jobs
