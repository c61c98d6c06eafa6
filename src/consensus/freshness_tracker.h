#pragma once

#include <optional>

#include "base/ids.h"
#include "base/time.h"
#include "consensus/freshness_token.h"

namespace sapphirecrank::consensus {

/// Tracks up to which time a follower is known to have applied all committed entries.
///
/// The follower adds a token with its current time to its responses. After a quorum has confirmed
/// the leader, the leader returns the token together with its commit index. A delayed message can
/// therefore only make the follower look less up to date than it is. Thread safety: none.
class FreshnessTracker {
 public:
  explicit FreshnessTracker(base::Incarnation incarnation) : incarnation(incarnation) {}

  /// Returns the token for a response that is sent now.
  FreshnessToken IssueToken(base::TimePoint now) const { return {this->incarnation, now}; }

  /// Records a returned token: all entries that were committed when it was issued are at or before
  /// `commit_index`. Ignores tokens of an earlier process, tokens that aren't newer than
  /// `up_to_date_as_of`, and any token while an earlier one waits until its entries are applied.
  void ConfirmToken(const FreshnessToken& token, base::LogIndex commit_index) {
    if (token.incarnation != this->incarnation || token.issued_at <= this->up_to_date_time) {
      return;
    }
    if (!this->pending_token_time) {
      this->pending_token_time = token.issued_at;
      this->required_index = commit_index;
    }
  }

  /// Records that the entries up to `applied_index` were applied to the state machine.
  void OnApplied(base::LogIndex applied_index) {
    if (this->pending_token_time && applied_index >= this->required_index) {
      this->up_to_date_time = *this->pending_token_time;
      this->pending_token_time.reset();
    }
  }

  /// Returns the time up to which all committed entries are known to be applied, or the clock's
  /// epoch if no such time is known.
  base::TimePoint up_to_date_as_of() const { return this->up_to_date_time; }

 private:
  base::Incarnation incarnation;
  std::optional<base::TimePoint> pending_token_time;
  base::LogIndex required_index;
  base::TimePoint up_to_date_time;
};

}  // namespace sapphirecrank::consensus
