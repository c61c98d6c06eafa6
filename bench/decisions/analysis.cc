#include "bench/decisions/analysis.h"

#include <algorithm>
#include <map>

namespace sapphirecrank::bench {

using base::Duration;
using base::TimePoint;
using Outcome = MeasuredTask::Outcome;

namespace {
/// Run times up to this are short. Few run times of the workload are near it, because the typical
/// run times of its task kinds are at most 1 s or at least 2 s.
constexpr Duration kMaximumShortRunTime = std::chrono::milliseconds(1500);
constexpr Duration kRecoveryWindowLength = std::chrono::milliseconds(500);
/// Service has recovered in a window if two figures of the short urgent and ordinary tasks are each
/// at most the limit below, or at most their highest value in a window before the surge: the 95th
/// percentile of the slowdown, and the share of tasks that were refused or cancelled.
constexpr double kRecoveredSlowdown = 2;
constexpr double kRecoveredRefusalShare = 0.02;
/// A start request and its response.
constexpr int64_t kMessagesPerStart = 2;

double ToMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// Computes the figures of one simulation from its tasks.
class FigureCalculator {
 public:
  FigureCalculator(const Scenario& scenario, const Workload& workload, TimePoint start,
                   const Simulation& simulation)
      : scenario(scenario), workload(workload), start_time(start), simulation(simulation) {}

  ScenarioFigures Compute() {
    for (size_t i = 0; i < this->workload.tasks.size(); ++i) {
      this->CountTask(this->workload.tasks[i], this->simulation.tasks()[i]);
    }
    this->SummariseTasks();
    return this->figures;
  }

 private:
  struct RecoveryWindow {
    std::vector<double> slowdowns;
    int not_run_count = 0;
    int total_count = 0;
  };

  using ValuesByClass = std::array<std::vector<double>, base::kPriorityClassCount>;

  void CountTask(const WorkloadTask& task, const MeasuredTask& measured) {
    this->figures.duplicate_starts += measured.start_count > 1 ? 1 : 0;
    this->figures.lost_tasks += measured.outcome == Outcome::kUnfinished ? 1 : 0;
    this->figures.contradictory_refusals += measured.has_contradictory_refusal ? 1 : 0;
    this->CountMessages(task, measured);
    this->AddSurgeWork(task, measured);
    if (measured.arrival_time < this->start_time + this->scenario.warm_up) {
      return;
    }
    const auto class_index = static_cast<size_t>(task.spec.priority_class);
    const bool has_run =
        measured.outcome == Outcome::kMetDeadline || measured.outcome == Outcome::kMissedDeadline;
    const bool has_not_run = measured.outcome == Outcome::kRefused ||
                             measured.outcome == Outcome::kExpired ||
                             measured.outcome == Outcome::kCancelled;
    ++this->task_counts[class_index];
    this->in_time_counts[class_index] += measured.outcome == Outcome::kMetDeadline ? 1 : 0;
    this->not_run_counts[class_index] += has_not_run && !measured.is_unsatisfiable ? 1 : 0;
    this->CountRefusal(measured);
    const bool is_short = task.ideal_run_time <= kMaximumShortRunTime;
    this->figures.tasks_behind_excess_share += measured.waited_behind_excess_share ? 1 : 0;
    if (has_run) {
      this->CountRunTask(class_index, is_short, task, measured);
    }
    if (is_short && class_index < 2) {
      this->AddToRecoveryWindow(task, measured, has_run, has_not_run);
    }
  }

  void CountRefusal(const MeasuredTask& measured) {
    if (measured.outcome != Outcome::kRefused && measured.outcome != Outcome::kExpired) {
      return;
    }
    this->figures.unsatisfiable_tasks += measured.is_unsatisfiable ? 1 : 0;
    const bool is_on_arrival = measured.outcome == Outcome::kRefused;
    this->figures.refused_on_arrival += is_on_arrival ? 1 : 0;
    this->figures.expired_in_queue += is_on_arrival ? 0 : 1;
    this->refusal_ms.push_back(ToMilliseconds(measured.end_time - measured.arrival_time));
  }

  void CountRunTask(size_t class_index, bool is_short, const WorkloadTask& task,
                    const MeasuredTask& measured) {
    const double slowdown = ToMilliseconds(measured.end_time - measured.arrival_time) /
                            ToMilliseconds(task.ideal_run_time);
    this->slowdowns[class_index].push_back(slowdown);
    if (!is_short) {
      return;
    }
    this->short_slowdowns[class_index].push_back(slowdown);
    if (class_index < 2) {
      this->short_wait_ms.push_back(ToMilliseconds(measured.start_time - measured.arrival_time));
    }
    const Duration arrival_offset = measured.arrival_time - this->start_time;
    if (arrival_offset >= this->scenario.surge_start && arrival_offset < this->scenario.surge_end) {
      this->surge_slowdowns[class_index].push_back(slowdown);
    }
  }

  void CountMessages(const WorkloadTask& task, const MeasuredTask& measured) {
    const bool is_useful = measured.outcome == Outcome::kMetDeadline &&
                           !this->simulation.IsJobAbandoned(task.job_index);
    (is_useful ? this->useful_messages : this->wasted_messages) +=
        kMessagesPerStart * measured.start_count;
  }

  void AddSurgeWork(const WorkloadTask& task, const MeasuredTask& measured) {
    if (measured.start_count == 0 || this->scenario.surge_end == this->scenario.surge_start) {
      return;
    }
    const TimePoint from =
        std::max(measured.start_time, this->start_time + this->scenario.surge_start);
    const TimePoint to = std::min(measured.end_time, this->start_time + this->scenario.surge_end);
    if (to <= from) {
      return;
    }
    const double seconds = std::chrono::duration<double>(to - from).count();
    const bool is_useful = measured.outcome == Outcome::kMetDeadline &&
                           !this->simulation.IsJobAbandoned(task.job_index);
    const base::Resources& declared = task.spec.declared_resources;
    const base::Resources& capacity = this->scenario.target_capacity;
    const std::array<double, 3> shares = {
        1.0 / this->scenario.slots_per_target.value(),
        capacity.processors.value() > 0 ? static_cast<double>(declared.processors.value()) /
                                              static_cast<double>(capacity.processors.value())
                                        : 0,
        capacity.memory.value() > 0 ? static_cast<double>(declared.memory.value()) /
                                          static_cast<double>(capacity.memory.value())
                                    : 0};
    for (size_t i = 0; i < shares.size(); ++i) {
      this->surge_busy_seconds[i] += seconds * shares[i];
      this->surge_useful_seconds[i] += is_useful ? seconds * shares[i] : 0;
    }
  }

  void AddToRecoveryWindow(const WorkloadTask& task, const MeasuredTask& measured, bool has_run,
                           bool has_not_run) {
    const Duration time_after_surge =
        measured.arrival_time - this->start_time - this->scenario.surge_end;
    const bool is_before_surge =
        measured.arrival_time < this->start_time + this->scenario.surge_start;
    if (this->scenario.surge_end == this->scenario.surge_start ||
        (!is_before_surge && time_after_surge < Duration(0))) {
      return;
    }
    // Windows before the surge have negative indices.
    RecoveryWindow& window = this->windows[time_after_surge / kRecoveryWindowLength];
    ++window.total_count;
    window.not_run_count += has_not_run && !measured.is_unsatisfiable ? 1 : 0;
    if (has_run) {
      window.slowdowns.push_back(ToMilliseconds(measured.end_time - measured.arrival_time) /
                                 ToMilliseconds(task.ideal_run_time));
    }
  }

  void SummariseTasks() {
    for (size_t i = 0; i < base::kPriorityClassCount; ++i) {
      const auto total = static_cast<double>(std::max<int64_t>(1, this->task_counts[i]));
      this->figures.in_time_share[i] = static_cast<double>(this->in_time_counts[i]) / total;
      this->figures.not_run_share[i] = static_cast<double>(this->not_run_counts[i]) / total;
      this->figures.slowdown[i] = Percentiles::Compute(this->slowdowns[i]);
      this->figures.short_slowdown[i] = Percentiles::Compute(this->short_slowdowns[i]);
      this->figures.surge_short_slowdown[i] = Percentiles::Compute(this->surge_slowdowns[i]);
    }
    this->figures.short_wait_ms = Percentiles::Compute(this->short_wait_ms);
    this->figures.refusal_p99_ms = Percentiles::Compute(this->refusal_ms).p99;
    this->figures.wasted_message_ratio =
        static_cast<double>(this->wasted_messages) /
        static_cast<double>(std::max<int64_t>(1, this->useful_messages));
    this->figures.overcommitted_starts = this->simulation.overcommitted_start_count();
    this->figures.failing_target_start_share =
        static_cast<double>(this->simulation.failing_target_starts_after_detection()) /
        static_cast<double>(std::max<int64_t>(1, this->simulation.starts_after_detection()));
    this->SummariseSurge();
  }

  void SummariseSurge() {
    const double seconds =
        std::chrono::duration<double>(this->scenario.surge_end - this->scenario.surge_start)
            .count();
    if (seconds <= 0) {
      return;
    }
    const auto scarcest_resource =
        std::max_element(this->surge_busy_seconds.begin(), this->surge_busy_seconds.end()) -
        this->surge_busy_seconds.begin();
    this->figures.surge_utilisation =
        this->surge_busy_seconds[scarcest_resource] / (seconds * this->scenario.target_count);
    this->figures.surge_useful_share =
        this->surge_useful_seconds[scarcest_resource] / (seconds * this->scenario.target_count);
    double normal_slowdown = kRecoveredSlowdown;
    double normal_refusals = kRecoveredRefusalShare;
    for (const auto& [window_index, window] : this->windows) {
      const double slowdown = Percentile95(window.slowdowns);
      const double refusals = static_cast<double>(window.not_run_count) / window.total_count;
      if (window_index < 0) {
        normal_slowdown = std::max(normal_slowdown, slowdown);
        normal_refusals = std::max(normal_refusals, refusals);
      } else if (slowdown > normal_slowdown || refusals > normal_refusals) {
        this->figures.recovery_seconds =
            static_cast<double>(window_index + 1) *
            std::chrono::duration<double>(kRecoveryWindowLength).count();
      }
    }
  }

  static double Percentile95(std::vector<double> values) {
    if (values.empty()) {
      return 0;
    }
    std::sort(values.begin(), values.end());
    return values[values.size() * 95 / 100];
  }

  const Scenario& scenario;
  const Workload& workload;
  TimePoint start_time;
  const Simulation& simulation;
  ScenarioFigures figures;
  ValuesByClass slowdowns;
  ValuesByClass short_slowdowns;
  ValuesByClass surge_slowdowns;
  std::vector<double> short_wait_ms;
  std::vector<double> refusal_ms;
  std::array<int64_t, base::kPriorityClassCount> task_counts{};
  std::array<int64_t, base::kPriorityClassCount> in_time_counts{};
  std::array<int64_t, base::kPriorityClassCount> not_run_counts{};
  std::array<double, 3> surge_busy_seconds{};
  std::array<double, 3> surge_useful_seconds{};
  std::map<int64_t, RecoveryWindow> windows;
  int64_t useful_messages = 0;
  int64_t wasted_messages = 0;
};

}  // namespace

ScenarioFigures ComputeFigures(const Scenario& scenario, const Workload& workload, TimePoint start,
                               const Simulation& simulation) {
  return FigureCalculator(scenario, workload, start, simulation).Compute();
}

}  // namespace sapphirecrank::bench
