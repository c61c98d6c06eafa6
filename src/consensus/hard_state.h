#pragma once

#include "base/ids.h"

namespace sapphirecrank::consensus {

/// State that a voter stores durably before it responds.
struct HardState {
  base::Term term;
  /// Host that got the vote in `term`; empty if none did.
  base::HostId voted_for;

  friend bool operator==(const HardState& a, const HardState& b) {
    return a.term == b.term && a.voted_for == b.voted_for;
  }
};

}  // namespace sapphirecrank::consensus
