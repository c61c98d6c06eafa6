#pragma once

#include <map>

#include "base/ids.h"
#include "base/time.h"

namespace sapphirecrank::consensus {

/// The leader's numbered heartbeat rounds. They show up to which time a quorum followed the leader.
///
/// A response to a round proves that the host followed this leader after the round's start.
/// Thread safety: none.
class HeartbeatRounds {
 public:
  /// Forgets all rounds, but doesn't reuse their numbers.
  void Clear();

  /// Starts a round and returns its number.
  base::SequenceNumber StartRound(base::TimePoint now);

  /// Records that a quorum has responded to the rounds up to `round`.
  void ConfirmUpTo(base::SequenceNumber round);

  /// Returns the latest round that was started.
  base::SequenceNumber latest_started_round() const { return this->latest_round; }

  /// Returns the latest round that a quorum has responded to. After `Clear` this is the last round
  /// that was started before, until a quorum responds to a newer one.
  base::SequenceNumber latest_confirmed_round() const { return this->confirmed_round; }

  /// Returns the start time of the latest confirmed round, or the clock's epoch if there is none.
  base::TimePoint confirmed_round_start() const { return this->confirmed_start_time; }

 private:
  std::map<base::SequenceNumber, base::TimePoint> unconfirmed_rounds;
  base::SequenceNumber latest_round;
  base::SequenceNumber confirmed_round;
  base::TimePoint confirmed_start_time;
};

}  // namespace sapphirecrank::consensus
