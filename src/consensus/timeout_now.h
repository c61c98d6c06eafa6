#pragma once

namespace sapphirecrank::consensus {

/// Request of the leader to the receiver to start an election at once and take over leadership.
struct TimeoutNow {};

}  // namespace sapphirecrank::consensus
