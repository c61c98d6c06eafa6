#include "scheduling/fair_queue.h"

#include <algorithm>

#include "scheduling/seconds.h"
#include "scheduling/team_record.h"

namespace sapphirecrank::scheduling {

using base::Duration;
using base::TimePoint;

void FairQueue::PushTask(TaskRecord& task) {
  TeamState& team = this->FindOrAddTeam(*task.team);
  if (team.queue.empty()) {
    team.weight = WeightOf(*task.team);
    team.virtual_start = std::max(team.virtual_start, this->virtual_time);
    this->waiting_teams.emplace(team.virtual_start, task.team->index);
    this->waiting_weight_sum += team.weight;
  }
  team.queue.PushTask(task);
  ++this->queued_task_count;
  this->total_work_seconds += ToSeconds(task.estimate.expected);
}

void FairQueue::RemoveTask(TaskRecord& task) {
  this->RemoveFromTeam(task, this->FindOrAddTeam(*task.team));
}

void FairQueue::RemoveAndCharge(TaskRecord& task) {
  TeamState& team = this->FindOrAddTeam(*task.team);
  this->virtual_time = std::max(this->virtual_time, team.virtual_start);
  this->RemoveFromTeam(task, team);
  const double virtual_cost = ToSeconds(task.estimate.expected) / team.weight;
  this->SetVirtualStart(task.team->index, team, team.virtual_start + virtual_cost);
}

void FairQueue::UpdateTeamWeight(const TeamRecord& record) {
  if (record.index >= this->teams.size() || this->teams[record.index] == nullptr) {
    return;
  }
  TeamState& team = *this->teams[record.index];
  if (!team.queue.empty()) {
    this->waiting_weight_sum += WeightOf(record) - team.weight;
  }
  team.weight = WeightOf(record);
}

void FairQueue::CorrectTeamCharge(const TeamRecord& record, Duration correction) {
  TeamState& team = this->FindOrAddTeam(record);
  const double corrected_start = team.virtual_start + ToSeconds(correction) / team.weight;
  // A refund doesn't move a team behind the virtual time, as the team would then also make up for
  // service that other teams received in the meantime.
  this->SetVirtualStart(
      record.index, team,
      std::max(corrected_start, std::min(team.virtual_start, this->virtual_time)));
}

TaskRecord* FairQueue::NextTask(TimePoint now) const {
  if (this->waiting_teams.empty()) {
    return nullptr;
  }
  return this->teams[this->waiting_teams.begin()->second]->queue.NextTask(now);
}

TaskRecord* FairQueue::NextTaskOfTeam(const TeamRecord& team, TimePoint now) const {
  if (team.index >= this->teams.size() || this->teams[team.index] == nullptr) {
    return nullptr;
  }
  return this->teams[team.index]->queue.NextTask(now);
}

double FairQueue::WorkAheadSeconds(const TeamRecord& record) const {
  const double weight = WeightOf(record);
  double own_work_seconds = 0;
  if (record.index < this->teams.size() && this->teams[record.index] != nullptr) {
    own_work_seconds = this->teams[record.index]->queue.queued_work_seconds();
  }
  const double work_until_turn =
      own_work_seconds * std::max(weight, this->waiting_weight_sum) / weight;
  return std::min(this->total_work_seconds, work_until_turn);
}

double FairQueue::WeightOf(const TeamRecord& team) {
  return static_cast<double>(std::max<int64_t>(1, team.weight.value()));
}

FairQueue::TeamState& FairQueue::FindOrAddTeam(const TeamRecord& record) {
  if (record.index >= this->teams.size()) {
    this->teams.resize(record.index + 1);
  }
  std::unique_ptr<TeamState>& team = this->teams[record.index];
  if (team == nullptr) {
    team = std::make_unique<TeamState>();
  }
  return *team;
}

void FairQueue::SetVirtualStart(uint32_t team_index, TeamState& team, double virtual_start) {
  if (!team.queue.empty()) {
    auto node = this->waiting_teams.extract({team.virtual_start, team_index});
    node.value().first = virtual_start;
    this->waiting_teams.insert(std::move(node));
  }
  team.virtual_start = virtual_start;
}

void FairQueue::RemoveFromTeam(TaskRecord& task, TeamState& team) {
  team.queue.RemoveTask(task);
  --this->queued_task_count;
  this->total_work_seconds =
      std::max(0.0, this->total_work_seconds - ToSeconds(task.estimate.expected));
  if (team.queue.empty()) {
    this->waiting_teams.erase({team.virtual_start, task.team->index});
    this->waiting_weight_sum -= team.weight;
  }
  if (this->waiting_teams.empty()) {
    this->total_work_seconds = 0;
    this->waiting_weight_sum = 0;
  }
}

}  // namespace sapphirecrank::scheduling
