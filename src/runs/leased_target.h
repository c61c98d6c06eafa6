#pragma once

#include <map>

#include "base/resources.h"
#include "base/time.h"
#include "runs/pending_acknowledgements.h"
#include "runs/placement_rule.h"
#include "runs/run_key.h"
#include "runs/target_report.h"
#include "runs/target_run.h"

namespace sapphirecrank::runs {

/// A target that this host owns, with its runs and its lease.
///
/// Thread safety: none.
struct LeasedTarget {
  enum class Phase {
    /// Runs of an earlier owner are being stopped; nothing is started.
    kAdopting,
    kInUse,
    /// Another owner has used a higher token; nothing is sent until this host gets one.
    kFenced,
  };

  TargetReport report;
  base::FencingToken fencing_token;
  Phase phase = Phase::kAdopting;
  base::Resources used_resources;
  std::map<RunKey, TargetRun> runs;
  /// Runs that the target lists and this host didn't start; their room isn't known.
  size_t unknown_run_count = 0;
  /// Ends up to this number have been taken in, and have been acknowledged to the target.
  base::SequenceNumber last_processed_end;
  base::SequenceNumber last_acknowledged_end;
  PendingAcknowledgements pending_acknowledgements;
  /// When the target's clock was `report.clock`.
  base::TimePoint clock_read_at;
  base::TimePoint last_heard_at;
  /// No new runs before this time, after failed calls.
  base::TimePoint backoff_until;
  /// Calls without an answer since the last answered one.
  int unanswered_call_count = 0;
  /// The target's lease has surely ended at this time.
  base::TimePoint lease_end;
  bool is_poll_pending = false;
  base::SequenceNumber last_poll_sequence_number;
  base::TimePoint last_poll_sent_at;
  /// The open look should have been answered by now.
  base::TimePoint poll_deadline;
  /// Looks without an answer in time since the last answered one.
  int overdue_poll_count = 0;
  base::TimePoint next_poll_at;

  /// Keeps new runs away until then. Thread safety: none, as for the methods below.
  void ExtendBackoff(base::TimePoint until);

  /// Takes note of a call that got an answer or none; a target that seems silent is avoided.
  void RecordCallResult(bool has_answer, base::TimePoint avoid_if_silent);

  /// Takes note of an order sent now that may extend the target's lease.
  void ExtendLease(base::Duration lease, base::TimePoint now);

  /// Tells whether a further task of the step of `task` may begin beside the runs that are here.
  /// Thread safety: pure.
  bool SatisfiesPlacementRule(const PlacementRule& rule, const JobTaskKey& task) const;

  /// Returns what is free. Thread safety: pure.
  base::Resources FreeResources() const {
    base::Resources free = this->report.capacity;
    free -= this->used_resources;
    return free;
  }

  /// Returns the target's clock at `now`. Thread safety: pure.
  base::Duration ClockAt(base::TimePoint now) const {
    return this->report.clock + (now - this->clock_read_at);
  }
};

}  // namespace sapphirecrank::runs
