#include "bench/decisions/workload.h"

#include <algorithm>
#include <cmath>

namespace sapphirecrank::bench {

using base::Duration;
using base::PriorityClass;
using base::TimePoint;

namespace {
constexpr double kMinimumShortSeconds = 0.05;
constexpr double kMaximumShortSeconds = 1;
constexpr double kMinimumLongSeconds = 2;
constexpr double kMaximumLongSeconds = 6;
/// Share of jobs whose tasks take several seconds, by class.
constexpr std::array<double, base::kPriorityClassCount> kLongJobShares = {0.005, 0.02, 0.05};
constexpr int kShortKindCount = 60;
constexpr int kLongKindCount = 8;
/// Share of jobs for which a new task kind replaces one of the existing kinds.
constexpr double kNewKindJobShare = 0.02;
/// Share of jobs whose tasks fit on no target.
constexpr double kUnsatisfiableJobShare = 0.002;
constexpr double kStragglerShare = 0.001;
constexpr int kStragglerFactor = 30;
constexpr double kMaximumDeclarationFactor = 10;
/// Standard deviation of the logarithm of the ratio of declared to actual values. The largest
/// ratio, 10, is three standard deviations away.
constexpr double kDeclarationLogDeviation = 2.3026 / 3;
constexpr double kRunTimeLogDeviation = 0.2;
/// Time to the deadline by class, in addition to `kDeadlineRunTimeFactor` times the typical run
/// time of the kind.
constexpr std::array<double, base::kPriorityClassCount> kExtraDeadlineSeconds = {1, 3, 20};
constexpr double kDeadlineRunTimeFactor = 4;
constexpr double kLargeTaskShare = 0.02;
constexpr double kGibibyte = 1073741824.0;
constexpr double kFirstTeamShare = 0.5;

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}
}  // namespace

Workload::Workload(const Scenario& scenario, TimePoint start, uint64_t seed)
    : random_engine(seed), task_kinds(base::kPriorityClassCount) {
  for (int class_index = 0; class_index < base::kPriorityClassCount; ++class_index) {
    const auto priority_class = static_cast<PriorityClass>(class_index);
    for (int i = 0; i < kShortKindCount + kLongKindCount; ++i) {
      this->task_kinds[class_index].push_back(this->MakeTaskKind(scenario, priority_class, i));
    }
  }
  for (int class_index = 0; class_index < base::kPriorityClassCount; ++class_index) {
    this->AddClassJobs(scenario, static_cast<PriorityClass>(class_index), start);
  }
  std::stable_sort(this->jobs.begin(), this->jobs.end(),
                   [](const Job& a, const Job& b) { return a.arrival_time < b.arrival_time; });
  for (size_t job_index = 0; job_index < this->jobs.size(); ++job_index) {
    for (size_t i = 0; i < this->jobs[job_index].task_count; ++i) {
      this->tasks[this->jobs[job_index].first_task + i].job_index = job_index;
    }
  }
}

double Workload::Uniform(double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(this->random_engine);
}

double Workload::LogUniform(double low, double high) {
  return std::exp(this->Uniform(std::log(low), std::log(high)));
}

double Workload::DeclarationFactor(const Scenario& scenario) {
  if (scenario.log_uniform_declaration_errors) {
    return this->LogUniform(1 / kMaximumDeclarationFactor, kMaximumDeclarationFactor);
  }
  const double factor =
      std::exp(std::normal_distribution<double>(0, kDeclarationLogDeviation)(this->random_engine));
  return std::clamp(factor, 1 / kMaximumDeclarationFactor, kMaximumDeclarationFactor);
}

Workload::TaskKindProfile Workload::MakeTaskKind(const Scenario& scenario,
                                                 PriorityClass priority_class, int kind_index) {
  TaskKindProfile kind;
  kind.priority_class = priority_class;
  const int team_index = this->Uniform(0, 1) < kFirstTeamShare
                             ? 0
                             : static_cast<int>(this->Uniform(0, scenario.team_count));
  kind.team = "team-" + std::to_string(team_index);
  kind.name =
      std::string(base::PriorityClassName(priority_class)) + "-" + std::to_string(kind_index);
  kind.typical_seconds = kind_index < kShortKindCount
                             ? this->LogUniform(kMinimumShortSeconds, kMaximumShortSeconds)
                             : this->Uniform(kMinimumLongSeconds, kMaximumLongSeconds);
  kind.declaration_factor = kind_index % 2 == 0 ? this->DeclarationFactor(scenario) : 0;
  if (scenario.target_capacity.processors.value() > 0) {
    const double cores =
        this->Uniform(0, 1) < kLargeTaskShare ? this->Uniform(2, 4) : this->LogUniform(0.25, 1);
    kind.resources.processors = base::MilliCores(static_cast<int64_t>(1000 * cores));
    kind.resources.memory = base::ByteCount(
        static_cast<int64_t>(kGibibyte * std::min(cores, 1.0) * this->LogUniform(0.25, 1.5)));
  }
  return kind;
}

const Workload::TaskKindProfile& Workload::PickTaskKind(const Scenario& scenario,
                                                        PriorityClass priority_class) {
  std::vector<TaskKindProfile>& kinds = this->task_kinds[static_cast<size_t>(priority_class)];
  const bool is_long = this->Uniform(0, 1) < kLongJobShares[static_cast<size_t>(priority_class)];
  const int kind_index = is_long
                             ? kShortKindCount + static_cast<int>(this->Uniform(0, kLongKindCount))
                             : static_cast<int>(this->Uniform(0, kShortKindCount));
  if (this->Uniform(0, 1) >= kNewKindJobShare) {
    return kinds[kind_index];
  }
  kinds[kind_index] = this->MakeTaskKind(scenario, priority_class, kind_index);
  kinds[kind_index].name += "-" + std::to_string(++this->new_kind_count);
  return kinds[kind_index];
}

int Workload::PickJobSize(const Scenario& scenario) {
  return static_cast<int>(this->LogUniform(1, scenario.maximum_job_tasks + 0.99));
}

WorkloadTask Workload::MakeTask(const Scenario& scenario, const TaskKindProfile& kind) {
  WorkloadTask task;
  const double log_deviation =
      std::normal_distribution<double>(0, kRunTimeLogDeviation)(this->random_engine);
  const double seconds = kind.typical_seconds * std::exp(log_deviation);
  task.ideal_run_time = FromSeconds(seconds);
  task.run_time = this->Uniform(0, 1) < kStragglerShare ? task.ideal_run_time * kStragglerFactor
                                                        : task.ideal_run_time;
  const double factor =
      kind.declaration_factor > 0 ? kind.declaration_factor : this->DeclarationFactor(scenario);
  task.spec.team = base::TeamId(kind.team);
  task.spec.kind = base::TaskKind(kind.name);
  task.spec.priority_class = kind.priority_class;
  task.spec.target_kind = scenario.target_kind;
  task.spec.declared_run_time = FromSeconds(seconds * factor);
  const double resource_factor = this->DeclarationFactor(scenario);
  const auto scale = [&](int64_t amount, int64_t maximum) {
    return std::min(maximum, static_cast<int64_t>(static_cast<double>(amount) * resource_factor));
  };
  const base::Resources& capacity = scenario.target_capacity;
  task.spec.declared_resources.processors =
      base::MilliCores(scale(kind.resources.processors.value(), capacity.processors.value()));
  task.spec.declared_resources.memory =
      base::ByteCount(scale(kind.resources.memory.value(), capacity.memory.value()));
  return task;
}

void Workload::AddDemand(const Scenario& scenario, const WorkloadTask& task,
                         std::array<double, 3>& demand) {
  const double seconds =
      std::chrono::duration<double>(task.run_time).count() / scenario.target_count;
  const auto share_of = [](int64_t amount, int64_t capacity) {
    return capacity > 0 ? static_cast<double>(amount) / static_cast<double>(capacity) : 0;
  };
  const base::Resources& declared = task.spec.declared_resources;
  demand[0] += seconds / scenario.slots_per_target.value();
  demand[1] +=
      seconds * share_of(declared.processors.value(), scenario.target_capacity.processors.value());
  demand[2] += seconds * share_of(declared.memory.value(), scenario.target_capacity.memory.value());
}

void Workload::AddJob(const Scenario& scenario, PriorityClass priority_class,
                      TimePoint arrival_time) {
  const TaskKindProfile kind = this->PickTaskKind(scenario, priority_class);
  const int task_count = this->PickJobSize(scenario);
  const bool is_unsatisfiable = scenario.target_capacity.processors.value() > 0 &&
                                this->Uniform(0, 1) < kUnsatisfiableJobShare;
  const Duration time_to_deadline =
      FromSeconds(kExtraDeadlineSeconds[static_cast<size_t>(priority_class)] +
                  kDeadlineRunTimeFactor * kind.typical_seconds);
  Job job{arrival_time, this->tasks.size(), static_cast<size_t>(task_count)};
  const base::SubmissionId submission("job-" + std::to_string(this->jobs.size()));
  for (int i = 0; i < task_count; ++i) {
    WorkloadTask task = this->MakeTask(scenario, kind);
    task.spec.key = {submission, base::TaskIndex(static_cast<uint32_t>(i))};
    task.spec.deadline = arrival_time + time_to_deadline;
    if (is_unsatisfiable) {
      task.spec.declared_resources.processors =
          scenario.target_capacity.processors + base::MilliCores(1);
    }
    this->tasks.push_back(task);
  }
  this->jobs.push_back(job);
}

void Workload::AddPhaseJobs(const Scenario& scenario, PriorityClass priority_class, TimePoint start,
                            TimePoint end, double load) {
  const double duration_seconds = std::chrono::duration<double>(end - start).count();
  std::array<double, 3> demand{};
  // Given their number, the arrivals of a Poisson process are uniform in time. The number of jobs
  // follows from their demand, so that a phase that draws long jobs doesn't exceed its load.
  while (*std::max_element(demand.begin(), demand.end()) < load * duration_seconds) {
    const size_t first_task = this->tasks.size();
    this->AddJob(scenario, priority_class, start + FromSeconds(this->Uniform(0, duration_seconds)));
    for (size_t i = first_task; i < this->tasks.size(); ++i) {
      AddDemand(scenario, this->tasks[i], demand);
    }
  }
}

void Workload::AddClassJobs(const Scenario& scenario, PriorityClass priority_class,
                            TimePoint start) {
  for (size_t i = 0; i < scenario.phases.size(); ++i) {
    const Scenario::Phase& phase = scenario.phases[i];
    const Duration end =
        i + 1 < scenario.phases.size() ? scenario.phases[i + 1].start : scenario.duration;
    this->AddPhaseJobs(scenario, priority_class, start + phase.start, start + end,
                       phase.class_loads[static_cast<size_t>(priority_class)]);
  }
}

}  // namespace sapphirecrank::bench
