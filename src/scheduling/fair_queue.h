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

/// Queue of the tasks of several teams, served by start-time fair queueing.
///
/// Each team has a virtual start time. Each start of a task of the team adds the task's expected
/// run time, divided by the team's weight, to it; the sum is corrected once the run time is known.
/// The team with the smallest virtual start time is served next. A team that was idle continues at
/// the virtual time of the last start: it neither waits for a round of all teams nor makes up for
/// the time in which it was idle. Adding, starting or removing a task takes time logarithmic in the
/// number of teams with queued tasks. Thread safety: none; the owner holds its lock.
class FairQueue {
 public:
  /// Appends a task to its team's queue.
  void PushTask(TaskRecord& task);

  /// Removes a task that will not be started. Precondition: it is in this queue.
  void RemoveTask(TaskRecord& task);

  /// Removes a task that is started and charges its team for the expected run time. Precondition:
  /// it is in this queue.
  void RemoveAndCharge(TaskRecord& task);

  /// Applies the team's current weight, also to tasks that are already queued.
  void UpdateTeamWeight(const TeamRecord& team);

  /// Charges a team for `correction` of run time beyond the expected one; a negative value reduces
  /// the charge.
  void CorrectTeamCharge(const TeamRecord& team, base::Duration correction);

  /// Returns the task to start next, or null if no task is queued.
  TaskRecord* NextTask(base::TimePoint now) const;

  /// Returns the team's task to start next, or null if it has no queued task.
  TaskRecord* NextTaskOfTeam(const TeamRecord& team, base::TimePoint now) const;

  /// Tells whether no task is queued.
  bool empty() const { return this->waiting_teams.empty(); }

  /// Returns the number of queued tasks.
  size_t size() const { return this->queued_task_count; }

  /// Returns the expected run time, in seconds, of the tasks that start before a new task of the
  /// team would, if all waiting teams keep tasks queued.
  double WorkAheadSeconds(const TeamRecord& team) const;

  /// Returns the sum of the expected run times of all queued tasks, in seconds.
  double queued_work_seconds() const { return this->total_work_seconds; }

 private:
  struct TeamState {
    TeamQueue queue;
    double virtual_start = 0;
    double weight = 1;
  };

  static double WeightOf(const TeamRecord& team);
  TeamState& FindOrAddTeam(const TeamRecord& team);
  void SetVirtualStart(uint32_t team_index, TeamState& team, double virtual_start);
  void RemoveFromTeam(TaskRecord& task, TeamState& team);

  /// Indexed by `TeamRecord::index`; null for a team that never had a task in this queue.
  std::vector<std::unique_ptr<TeamState>> teams;
  /// Teams with queued tasks: virtual start time and team index.
  std::set<std::pair<double, uint32_t>> waiting_teams;
  double virtual_time = 0;
  double waiting_weight_sum = 0;
  double total_work_seconds = 0;
  size_t queued_task_count = 0;
};

}  // namespace sapphirecrank::scheduling
