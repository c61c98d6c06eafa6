#include "consensus/heartbeat_rounds.h"

#include <iterator>

namespace sapphirecrank::consensus {

void HeartbeatRounds::Clear() {
  this->unconfirmed_rounds.clear();
  this->confirmed_round = this->latest_round;
  this->confirmed_start_time = base::TimePoint();
}

base::SequenceNumber HeartbeatRounds::StartRound(base::TimePoint now) {
  this->latest_round = this->latest_round.Next();
  this->unconfirmed_rounds[this->latest_round] = now;
  return this->latest_round;
}

void HeartbeatRounds::ConfirmUpTo(base::SequenceNumber round) {
  auto first_unconfirmed = this->unconfirmed_rounds.upper_bound(round);
  if (first_unconfirmed == this->unconfirmed_rounds.begin()) {
    return;
  }
  auto newest_confirmed = std::prev(first_unconfirmed);
  this->confirmed_round = newest_confirmed->first;
  this->confirmed_start_time = newest_confirmed->second;
  this->unconfirmed_rounds.erase(this->unconfirmed_rounds.begin(), first_unconfirmed);
}

}  // namespace sapphirecrank::consensus
