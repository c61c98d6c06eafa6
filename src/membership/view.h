#pragma once

#include <algorithm>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace sapphirecrank::membership {

/// The agreed set of entry hosts of a data centre, as this host learned of it.
struct View {
  base::DataCentreId data_centre;
  /// Grows by one with each agreed change.
  base::Epoch epoch;
  std::vector<base::HostId> members;
  /// When this host learned of the view, which is not earlier than when it was agreed.
  base::TimePoint adopted_at;

  /// Tells whether `host` is a member. Thread safety: pure.
  bool Contains(const base::HostId& host) const {
    return std::find(this->members.begin(), this->members.end(), host) != this->members.end();
  }
};

}  // namespace sapphirecrank::membership
