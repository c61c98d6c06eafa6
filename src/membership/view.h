#pragma once

#include <algorithm>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace sapphirecrank::membership {

/// The agreed set of entry hosts of a data centre.
struct View {
  base::DataCentreId data_centre;
  /// Increases by one with each agreed view.
  base::Epoch epoch;
  std::vector<base::HostId> members;
  /// Time when this host adopted the view. It is never before the time when the view was agreed.
  base::TimePoint adopted_at;

  /// Tells whether `host` is a member. Thread safety: pure.
  bool Contains(const base::HostId& host) const {
    return std::find(this->members.begin(), this->members.end(), host) != this->members.end();
  }
};

}  // namespace sapphirecrank::membership
