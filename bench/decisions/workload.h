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

/// The jobs of one simulation. They are drawn from a seed before the simulation starts, so that all
/// rule sets get the same work. Thread safety: none.
class Workload {
 public:
  /// A job and the range of its tasks in `tasks`.
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
  /// Properties of the tasks of one kind and team.
  struct TaskKindProfile {
    std::string team;
    std::string name;
    base::PriorityClass priority_class = base::PriorityClass::kOrdinary;
    double typical_seconds = 0;
    base::Resources resources;
    /// Ratio of declared to actual run time of all tasks; 0 if it is drawn for each task.
    double declaration_factor = 0;
  };

  double Uniform(double low, double high);
  double LogUniform(double low, double high);
  double DeclarationFactor(const Scenario& scenario);
  TaskKindProfile MakeTaskKind(const Scenario& scenario, base::PriorityClass priority_class,
                               int kind_index);
  const TaskKindProfile& PickTaskKind(const Scenario& scenario, base::PriorityClass priority_class);
  /// Returns the number of tasks of a job, drawn log-uniformly from 1 to `maximum_job_tasks`.
  int PickJobSize(const Scenario& scenario);
  void AddJob(const Scenario& scenario, base::PriorityClass priority_class,
              base::TimePoint arrival_time);
  WorkloadTask MakeTask(const Scenario& scenario, const TaskKindProfile& kind);
  /// Adds the task's demand on slots, processors and memory, in seconds of all targets' capacity.
  static void AddDemand(const Scenario& scenario, const WorkloadTask& task,
                        std::array<double, 3>& demand);
  /// Adds jobs of a class that arrive between `start` and `end`, until their demand on the scarcest
  /// resource reaches the share `load` of the capacity.
  void AddPhaseJobs(const Scenario& scenario, base::PriorityClass priority_class,
                    base::TimePoint start, base::TimePoint end, double load);
  /// Adds the jobs of a class for all phases.
  void AddClassJobs(const Scenario& scenario, base::PriorityClass priority_class,
                    base::TimePoint start);

  std::mt19937_64 random_engine;
  std::vector<std::vector<TaskKindProfile>> task_kinds;
  size_t new_kind_count = 0;
};

}  // namespace sapphirecrank::bench
