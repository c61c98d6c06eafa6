#include "consensus/quorum_rounds.h"

#include <iterator>

namespace sapphirecrank::consensus {

void HeartbeatRounds::Clear() {
  this->open.clear();
  this->confirmed_round = this->latest;
  this->confirmed_time = base::TimePoint();
}

base::Sequence HeartbeatRounds::StartRound(base::TimePoint now) {
  this->latest = this->latest.Next();
  this->open[this->latest] = now;
  return this->latest;
}

void HeartbeatRounds::ConfirmUpTo(base::Sequence round) {
  auto after = this->open.upper_bound(round);
  if (after == this->open.begin()) {
    return;
  }
  auto newest = std::prev(after);
  this->confirmed_round = newest->first;
  this->confirmed_time = newest->second;
  this->open.erase(this->open.begin(), after);
}

}  // namespace sapphirecrank::consensus
