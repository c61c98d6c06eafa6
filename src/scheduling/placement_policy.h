#pragma once

namespace sapphirecrank::scheduling {

/// Rule that picks one of several randomly drawn targets for a task.
enum class PlacementPolicy {
  /// The target with the smaller share of its slots in use.
  kLeastLoaded,
  /// The target with the larger share of its resources in use, which keeps other targets free for
  /// large tasks; if these shares are equal, the one with the smaller share of its slots in use.
  kBestFit,
  /// The target with the smaller learned ratio of run time to expected run time; if these are
  /// close, as `kBestFit`.
  kLowestSlowdown,
};

}  // namespace sapphirecrank::scheduling
