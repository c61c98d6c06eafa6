#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "base/time.h"
#include "scheduling/task_record.h"
#include "scheduling/team_queue.h"

namespace sapphirecrank::scheduling {

/// Queued tasks of several teams, served by start-time fair queueing.
///
/// Each team has a virtual start time, which grows by the expected run time of each start divided
/// by the team's weight and is corrected when the run time is known. The team with the smallest one
/// is served next. A team that was idle starts at the virtual time of the last start, so it neither
/// waits for a round of all teams nor claims the time in which it was idle. A push, a start or a
/// removal takes time logarithmic in the teams with queued tasks. Thread safety: none; the owner
/// holds its lock.
class FairQueue {
 public:
  /// Appends a task to its team's queue.
  void PushTask(TaskRecord& task);

  /// Takes out a task that will not be started. Precondition: it is in this queue.
  void RemoveTask(TaskRecord& task);

  /// Takes out a task that is started, and charges its team. Precondition: it is in this queue.
  void RemoveAndCharge(TaskRecord& task);

  /// Takes over the team's weight for tasks that are queued already.
  void UpdateTeamWeight(const TeamRecord& team);

  /// Charges a team for `correction` more run time than was expected, or less if negative.
  void CorrectTeamCharge(const TeamRecord& team, base::Duration correction);

  /// Returns the task to start next, or null.
  TaskRecord* NextTask(base::TimePoint now) const;

  /// Returns a queued task of the team, or null.
  TaskRecord* NextTaskOfTeam(const TeamRecord& team, base::TimePoint now) const;

  /// Tells whether no task is queued.
  bool empty() const { return this->waiting_teams.empty(); }

  /// Returns the number of queued tasks.
  size_t size() const { return this->queued_task_count; }

  /// Returns the seconds of expected run time that are served before a new task of the team would
  /// start, if all teams keep their queues.
  double WorkAheadSeconds(const TeamRecord& team) const;

  /// Returns the seconds of expected run time that are queued.
  double queued_work_seconds() const { return this->total_work_seconds; }

 private:
  struct TeamState {
    TeamQueue queue;
    double virtual_start = 0;
    double weight = 1;
  };

  static double WeightOf(const TeamRecord& team);
  TeamState& FindOrAddTeam(const TeamRecord& team);
  void SetVirtualStart(uint32_t number, TeamState& team, double virtual_start);
  void RemoveFromTeam(TaskRecord& task, TeamState& team);

  /// Indexed by team number; null for a team that never queued here.
  std::vector<std::unique_ptr<TeamState>> teams;
  /// Teams with queued tasks, by virtual start time.
  std::set<std::pair<double, uint32_t>> waiting_teams;
  double virtual_time = 0;
  double waiting_weight_sum = 0;
  double total_work_seconds = 0;
  size_t queued_task_count = 0;
};

}  // namespace sapphirecrank::scheduling
