#pragma once

namespace sapphirecrank::consensus {

/// Request of the leader that the receiver starts an election at once to take over leadership.
struct TimeoutNow {};

}  // namespace sapphirecrank::consensus
