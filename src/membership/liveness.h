#pragma once

namespace sapphirecrank::membership {

/// Liveness of another host, as far as its heartbeat responses show it.
enum class Liveness {
  /// The host has never responded, and was added less than a second ago.
  kUnknown,
  /// The host responds to heartbeats.
  kAlive,
  /// The host hasn't responded for a second. It may have crashed, be cut off, or only be slow.
  kSuspected,
};

}  // namespace sapphirecrank::membership
