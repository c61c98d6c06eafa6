#pragma once

namespace sapphirecrank::consensus {

/// What a host does in its group at the moment.
enum class RaftRole { kFollower, kPreCandidate, kCandidate, kLeader };

}  // namespace sapphirecrank::consensus
