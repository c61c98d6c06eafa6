#pragma once

namespace sapphirecrank::scheduling {

/// How the better of several randomly chosen targets is told.
enum class PlacementRule {
  /// The smaller share of slots in use.
  kLeastLoaded,
  /// The smaller rest of processors and memory, which keeps other targets free for large tasks.
  kTightestFit,
  /// The smaller learned ratio of run time to expected run time, then the smaller load.
  kCompletionTime,
};

}  // namespace sapphirecrank::scheduling
