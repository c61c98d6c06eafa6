#pragma once

#include <optional>

#include "base/ids.h"
#include "base/time.h"
#include "consensus/freshness_token.h"

namespace sapphirecrank::consensus {

/// Since when a follower is known to have everything that was committed.
///
/// The follower marks its answers with the time when it asks. The leader returns the mark after a
/// quorum has confirmed it, with the commit position. A message that was delayed on the way can
/// therefore only make the follower look older than it is. Thread safety: none.
class FreshnessTracker {
 public:
  explicit FreshnessTracker(base::Incarnation incarnation) : incarnation(incarnation) {}

  /// Returns the mark for an answer sent now.
  FreshnessToken IssueToken(base::TimePoint now) const { return {this->incarnation, now}; }

  /// Takes a returned mark: all that was committed when it was made is at most `commit_index`.
  void ConfirmToken(const FreshnessToken& token, base::LogIndex commit) {
    if (token.incarnation != this->incarnation || token.issued_at <= this->up_to_date_time) {
      return;
    }
    if (!this->pending_token_time) {
      this->pending_token_time = token.issued_at;
      this->required_index = commit;
    }
  }

  /// Records that the state machine has applied the entries up to `applied`.
  void OnApplied(base::LogIndex applied) {
    if (this->pending_token_time && applied >= this->required_index) {
      this->up_to_date_time = *this->pending_token_time;
      this->pending_token_time.reset();
    }
  }

  /// Returns the time whose committed entries are all applied, or the epoch if none is known.
  base::TimePoint up_to_date_as_of() const { return this->up_to_date_time; }

 private:
  base::Incarnation incarnation;
  std::optional<base::TimePoint> pending_token_time;
  base::LogIndex required_index;
  base::TimePoint up_to_date_time;
};

}  // namespace sapphirecrank::consensus
