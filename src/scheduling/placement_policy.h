#pragma once

namespace sapphirecrank::scheduling {

/// How the better of several randomly chosen targets is told.
enum class PlacementPolicy {
  /// The smaller share of slots in use.
  kLeastLoaded,
  /// The larger share of processors or memory in use, which keeps other targets free for large
  /// tasks; without these, the smaller share of slots in use.
  kBestFit,
  /// The smaller learned ratio of run time to expected run time, then the tightest fit.
  kLowestSlowdown,
};

}  // namespace sapphirecrank::scheduling
