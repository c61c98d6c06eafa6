#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "base/time.h"
#include "bench/decisions/scenario.h"
#include "bench/decisions/workload_task.h"

namespace sapphirecrank::bench {

/// The jobs of one simulation, drawn from a seed before the simulation starts, so that all rule
/// sets get the same work.
class Workload {
 public:
  struct Job {
    base::TimePoint arrival_time;
    size_t first_task = 0;
    size_t task_count = 0;
  };

  /// Draws the jobs of `scenario`, which arrive from `start` on.
  Workload(const Scenario& scenario, base::TimePoint start, uint64_t seed);

  std::vector<Job> jobs;
  std::vector<WorkloadTask> tasks;

 private:
  /// Work of one kind of one team.
  struct TaskKindProfile {
    std::string team;
    std::string name;
    base::PriorityClass priority_class = base::PriorityClass::kOrdinary;
    double typical_seconds = 0;
    base::Resources resources;
    /// Factor by which all declared run times of the kind are off, if the same for all.
    double declaration_factor = 0;
  };

  double Uniform(double low, double high);
  double LogUniform(double low, double high);
  double DeclarationFactor(const Scenario& scenario);
  TaskKindProfile MakeTaskKind(const Scenario& scenario, base::PriorityClass work_class,
                               int number);
  const TaskKindProfile& PickTaskKind(const Scenario& scenario, base::PriorityClass work_class);
  int PickJobSize(const Scenario& scenario);
  void AddJob(const Scenario& scenario, base::PriorityClass work_class, base::TimePoint arrival);
  WorkloadTask MakeTask(const Scenario& scenario, const TaskKindProfile& kind);
  static void AddDemand(const Scenario& scenario, const WorkloadTask& task,
                        std::array<double, 3>& demand);
  void AddPhaseJobs(const Scenario& scenario, base::PriorityClass work_class, base::TimePoint start,
                    base::TimePoint end, double load);
  void AddClassJobs(const Scenario& scenario, base::PriorityClass work_class,
                    base::TimePoint start);

  std::mt19937_64 random_engine;
  std::vector<std::vector<TaskKindProfile>> task_kinds;
  size_t one_off_kind_count = 0;
};

}  // namespace sapphirecrank::bench
