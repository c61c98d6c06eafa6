#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/resources.h"
#include "base/time.h"
#include "runs/poll_request.h"
#include "runs/poll_response.h"
#include "runs/start_request.h"
#include "runs/stop_request.h"
#include "runs/target_call_response.h"
#include "runs/target_report.h"

namespace sapphirecrank::testing {

/// In-memory target without admission control: it accepts every start that isn't fenced, expired or
/// stale, keeps a lease and the highest fencing token, and lists its runs. Its clock shows the time
/// since its start. Like a real target, it can't tell for which incarnation a request was meant.
///
/// Thread safety: none.
class SimulatedTarget {
 public:
  SimulatedTarget(std::string id, base::Resources capacity, base::TimePoint start_time);

  /// Begins another incarnation under the same id: the runs, their ends, the fencing token and all
  /// counts are gone.
  void Restart(base::TimePoint now);

  /// Returns the next report, with the next sequence number.
  runs::TargetReport MakeReport(base::TimePoint now);

  /// The three kinds of calls to a target. `required_resources` counts against the capacity.
  runs::TargetCallResponse StartRun(const runs::StartRequest& request,
                                    const base::Resources& required_resources, base::TimePoint now);
  runs::TargetCallResponse StopRun(const runs::StopRequest& request, base::TimePoint now);
  runs::PollResponse Poll(const runs::PollRequest& request, base::TimePoint now);

  /// Ends a run and adds it to the list of finished runs.
  void FinishRun(const runs::RunKey& key, runs::FinishedRun::Outcome outcome);

  /// Ends all active runs if the lease has expired.
  void StopRunsIfLeaseExpired(base::TimePoint now);

  const std::map<runs::RunKey, base::Resources>& active_runs() const {
    return this->active_run_resources;
  }

  base::Incarnation current_incarnation() const { return this->incarnation; }

  /// Tells whether the active runs together need more than the capacity.
  bool IsOverCapacity() const;

 private:
  bool AcceptFencingToken(base::FencingToken token);
  void ExtendLease(base::Duration requested_lease_end, base::TimePoint now);
  base::Duration TargetClockAt(base::TimePoint now) const { return now - this->start_time; }

  std::string id;
  base::Resources capacity;
  base::TimePoint start_time;
  base::Incarnation incarnation{1};
  base::FencingToken highest_fencing_token;
  base::Duration lease_end{0};
  base::SequenceNumber last_report_number;
  base::SequenceNumber last_finished_run_number;
  std::map<runs::RunKey, base::Resources> active_run_resources;
  std::map<runs::JobTaskKey, base::RunNumber> highest_run_numbers;
  std::vector<runs::FinishedRun> finished_runs;
};

}  // namespace sapphirecrank::testing
