#pragma once

#include "base/ids.h"

namespace sapphirecrank::consensus {

/// What a voter must not forget: its term, and whom it voted for in it (empty: nobody).
struct HardState {
  base::Term term;
  base::HostId voted_for;

  friend bool operator==(const HardState& a, const HardState& b) {
    return a.term == b.term && a.voted_for == b.voted_for;
  }
};

}  // namespace sapphirecrank::consensus
