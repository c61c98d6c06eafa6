#pragma once

namespace sapphirecrank::consensus {

/// Current role of a host in its group. A pre-candidate asks whether it could win an election.
enum class RaftRole { kFollower, kPreCandidate, kCandidate, kLeader };

}  // namespace sapphirecrank::consensus
