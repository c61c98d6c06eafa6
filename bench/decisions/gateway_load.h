#pragma once

#include <cstdint>

namespace sapphirecrank::bench {

/// Prints what the callers of 16 gateways get from six allocators without a network, in each order
/// of `gateway::UnevenLoadCluster`: shares served in time and refused, messages for each job, and
/// Jain's index of the shares served in time between the gateways.
void CompareGatewayLoads(uint64_t seed);

}  // namespace sapphirecrank::bench
