#pragma once

#include "base/ids.h"

namespace sapphirecrank::consensus {

/// What a voter must not forget: its term, and whom it voted for in it (empty: nobody).
struct HardState {
  base::Term term;
  base::HostId vote;

  friend bool operator==(const HardState& a, const HardState& b) {
    return a.term == b.term && a.vote == b.vote;
  }
};

}  // namespace sapphirecrank::consensus
