#pragma once

#include <vector>

#include "base/resources.h"

namespace sapphirecrank::runs {

/// Task sizes that fit on no target. Any larger task fits on none either, so that targets are
/// searched once for many waiting batches.
///
/// Thread safety: none.
class UnplaceableSizes {
 public:
  /// Records that a task with these requirements fits on no target.
  void Add(const base::Resources& size);

  /// Tells whether a task with these requirements is at least as large as a recorded one in each
  /// respect. Thread safety: pure.
  bool Includes(const base::Resources& size) const;

 private:
  /// None of them includes another one.
  std::vector<base::Resources> smallest_sizes;
};

}  // namespace sapphirecrank::runs
