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

/// A target without admission control: it starts what it is told to, keeps a lease and the highest
/// fencing token, and lists its runs. Its clock is the time since its start.
///
/// Thread safety: none.
class SimulatedTarget {
 public:
  SimulatedTarget(std::string id, base::Resources capacity, base::TimePoint born);

  /// Returns its next heartbeat.
  runs::TargetReport MakeReport(base::TimePoint now);

  runs::TargetCallResponse StartRun(const runs::StartRequest& order, const base::Resources& need,
                                    base::TimePoint now);
  runs::TargetCallResponse StopRun(const runs::StopRequest& order, base::TimePoint now);
  runs::PollResponse Poll(const runs::PollRequest& order, base::TimePoint now);

  /// Ends a run.
  void FinishRun(const runs::RunKey& key, runs::FinishedRun::Outcome kind);

  /// Kills everything if the lease has ended.
  void StopRunsIfLeaseExpired(base::TimePoint now);

  const std::map<runs::RunKey, base::Resources>& active_runs() const {
    return this->running_resources;
  }

  /// The runs together need more than there is.
  bool IsOverCapacity() const;

 private:
  bool AcceptFencingToken(base::FencingToken token);
  base::Duration TargetClockAt(base::TimePoint now) const { return now - this->start_time; }

  std::string id;
  base::Resources capacity;
  base::TimePoint start_time;
  base::FencingToken highest_fencing_token;
  base::Duration lease_until{0};
  base::SequenceNumber last_report_number;
  base::SequenceNumber last_finished_run_number;
  std::map<runs::RunKey, base::Resources> running_resources;
  std::map<runs::JobTaskKey, base::RunNumber> highest_run_numbers;
  std::vector<runs::FinishedRun> finished_runs;
};

}  // namespace sapphirecrank::testing
