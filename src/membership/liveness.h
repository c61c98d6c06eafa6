#pragma once

namespace sapphirecrank::membership {

/// What heartbeats tell about another host.
enum class Liveness {
  /// It has never answered, for less than a second.
  kUnknown,
  kAlive,
  /// It hasn't answered for a second; it may be dead, cut off or only slow.
  kSuspected,
};

}  // namespace sapphirecrank::membership
