#pragma once

#include <map>

#include "base/resources.h"
#include "base/time.h"
#include "runs/pending_acknowledgements.h"
#include "runs/placement_rule.h"
#include "runs/run_key.h"
#include "runs/target_endpoint.h"
#include "runs/target_report.h"
#include "runs/target_run.h"
#include "targets/health_state.h"

namespace sapphirecrank::runs {

/// A target that this host owns: its last report, its runs and the state of its lease.
///
/// Thread safety: none.
struct LeasedTarget {
  enum class Phase {
    /// Runs of an earlier owner are being listed and stopped; no run is started.
    kAdopting,
    kInUse,
    /// Another owner has used a higher fencing token. No request is sent until this host
    /// has an even higher one.
    kFenced,
  };

  TargetReport report;
  /// The incarnation that the target last showed in a report or a response. While it differs from
  /// that of `report`, the target's capacity and labels aren't known, and no run is started.
  base::Incarnation incarnation;
  base::FencingToken fencing_token;
  Phase phase = Phase::kAdopting;
  base::Resources used_resources;
  std::map<RunKey, TargetRun> runs;
  /// Runs that the target lists and this host has no record of, such as those of an earlier owner.
  /// The resources that they use aren't known.
  size_t unknown_run_count = 0;
  /// Sequence numbers of the last finished run that was processed, and of the last one that was
  /// acknowledged to the target.
  base::SequenceNumber last_processed_end;
  base::SequenceNumber last_acknowledged_end;
  PendingAcknowledgements pending_acknowledgements;
  /// This host's time at which the target's clock was `report.clock`.
  base::TimePoint clock_read_at;
  base::TimePoint last_heard_at;
  /// Copy of the state in the health tracker. Each placement reads it for all targets.
  targets::HealthState health = targets::HealthState::kHealthy;
  /// Starts are forbidden in the target's data centre. Copied from `StartPermission`, because each
  /// placement reads it for all targets.
  bool is_evacuated = false;
  /// The target is slow before this time, because it has started recently.
  base::TimePoint cold_until;
  /// No runs are started on the target before this time, after failed calls for example.
  base::TimePoint backoff_until;
  /// Calls without a response since the last one that had a response.
  int unanswered_call_count = 0;
  /// The target's lease has certainly ended by this time.
  base::TimePoint lease_end;
  bool is_poll_pending = false;
  base::SequenceNumber last_poll_sequence_number;
  base::TimePoint last_poll_sent_at;
  /// By this time the pending poll should have its response.
  base::TimePoint poll_deadline;
  /// Polls without a timely response since the last response.
  int overdue_poll_count = 0;
  base::TimePoint next_poll_at;

  /// Extends the backoff to `until`; changes nothing if it already lasts longer.
  /// Thread safety: none, as for the methods below.
  void ExtendBackoff(base::TimePoint until);

  /// Records whether a call got a response. After several calls in a row without one, no runs are
  /// started on the target before `backoff_until_if_silent`.
  void RecordCallResult(bool has_response, base::TimePoint backoff_until_if_silent);

  /// Records a request, sent at `now`, that may extend the target's lease by `lease` on the
  /// target's clock. A margin for the drift of that clock is added.
  void ExtendLease(base::Duration lease, base::TimePoint now);

  /// Forgets what the earlier incarnation of a restarted target has acknowledged, listed or failed
  /// to answer. The runs are kept: a request may have reached the new incarnation before this host
  /// learned of it.
  void ForgetEarlierIncarnation();

  /// Returns the endpoint for requests to the target. Thread safety: pure.
  TargetEndpoint Endpoint() const {
    return {this->report.id, this->report.address, this->incarnation, this->fencing_token};
  }

  /// Tells whether a request to `endpoint` was made for the present incarnation at the present
  /// address. Thread safety: pure.
  bool IsCurrent(const TargetEndpoint& endpoint) const {
    return endpoint.incarnation == this->incarnation && endpoint.address == this->report.address;
  }

  /// Tells whether a poll may acknowledge ends. Incarnations number their ends alike, so that an
  /// acknowledgement would make a restarted target forget the end of a run that it has started
  /// before this host learned of the restart. Thread safety: pure.
  bool MayAcknowledgeEnds() const;

  /// Returns the lowest reading that the target's clock can have in a response to a request sent at
  /// `sent_at`. A lower one shows that the target has been restarted. Thread safety: pure.
  base::Duration MinimumClockAfter(base::TimePoint sent_at) const;

  /// Returns whether runs can be started on the target once obstacles that pass within about a
  /// second are gone: an adoption, a backoff, capacity in use. Thread safety: pure.
  bool MayStartRunsSoon() const;

  /// Returns whether the target has the label that `rule` requires. Thread safety: pure.
  bool HasRequiredLabel(const PlacementRule& rule) const;

  /// Returns whether the target meets `rule` for `task`, counting the runs of the task's step that
  /// are already on the target. Thread safety: pure.
  bool SatisfiesPlacementRule(const PlacementRule& rule, const JobTaskKey& task) const;

  /// Returns whether the target is still slow after its start. Thread safety: pure.
  bool IsCold(base::TimePoint now) const { return now < this->cold_until; }

  /// Returns the capacity that no known run uses. Thread safety: pure.
  base::Resources FreeResources() const {
    base::Resources free = this->report.capacity;
    free -= this->used_resources;
    return free;
  }

  /// Returns the estimated reading of the target's clock at `now`. Thread safety: pure.
  base::Duration ClockAt(base::TimePoint now) const {
    return this->report.clock + (now - this->clock_read_at);
  }
};

}  // namespace sapphirecrank::runs
