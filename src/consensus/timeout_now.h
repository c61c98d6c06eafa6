#pragma once

namespace sapphirecrank::consensus {

/// The leader asks the receiver to start an election at once and take over.
struct TimeoutNow {};

}  // namespace sapphirecrank::consensus
