#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "scheduling/run_time_estimate.h"

namespace sapphirecrank::scheduling {

/// Learns the run times of tasks for each pair of team and task kind.
///
/// Each pair has two predictors: the typical run time, and the typical ratio of run time to
/// declared run time. The one with the smaller error is used. A pair without samples starts from
/// the team's typical run time and the declared one. The number of pairs is limited; the pair that
/// was added first is evicted first. Thread safety: none; the owner holds its lock.
class RunTimeEstimator {
 public:
  /// Identifies a pair of team and kind. All methods also accept the handle of an evicted pair.
  struct Handle {
    uint32_t index = 0;
    uint32_t generation = 0;
  };

  /// Creates an estimator without samples that keeps at most `capacity` pairs. Precondition:
  /// `capacity` >= 2.
  explicit RunTimeEstimator(size_t capacity);

  /// Returns the handle of a pair, which is added if it is unknown.
  Handle FindOrAddPair(const base::TeamId& team, const base::TaskKind& kind);

  /// Returns the estimate for a task with `declared_run_time`, which is zero if unknown. An evicted
  /// pair gets a fixed default.
  RunTimeEstimate Estimate(Handle handle, base::Duration declared_run_time) const;

  /// Learns from a task that succeeded after `response_time`, which counts as its run time. The
  /// sample of an evicted pair counts only for the average over all tasks.
  void AddSample(Handle handle, base::Duration declared_run_time, base::Duration response_time);

 private:
  /// Moving average of logarithms, and of the absolute error of that average.
  struct LogAverage {
    double mean = 0;
    double mean_absolute_error = 0;
    uint32_t sample_count = 0;

    void AddLogarithm(double value);
  };

  /// A team and a task kind; an empty kind stands for all tasks of the team.
  struct PairKey {
    base::TeamId team;
    base::TaskKind kind;

    friend bool operator==(const PairKey& a, const PairKey& b) {
      return a.team == b.team && a.kind == b.kind;
    }
  };

  struct PairKeyHash {
    size_t operator()(const PairKey& key) const;
  };

  struct PairStatistics {
    uint32_t generation = 0;
    const PairKey* key = nullptr;
    Handle team_handle;
    LogAverage log_run_time;
    LogAverage log_ratio;
    /// Exponentials of the averages, stored because each estimate needs them.
    double typical_seconds = 0;
    double typical_ratio = 0;
    /// Ratio of the optimistic to the typical run time.
    double optimistic_factor = 0;

    /// Tells whether the ratio to the declared run time has the smaller error.
    bool IsRatioMoreAccurate(base::Duration declared_run_time) const {
      return declared_run_time > base::Duration(0) && this->log_ratio.sample_count > 1 &&
             this->log_ratio.mean_absolute_error < this->log_run_time.mean_absolute_error;
    }
    void AddSample(double log_seconds, double log_declared);
  };

  Handle AddPair(const PairKey& key);
  const PairStatistics* FindPair(Handle handle) const;
  double PriorLogSeconds(const PairStatistics& statistics, base::Duration declared_run_time) const;

  size_t maximum_pairs;
  std::unordered_map<PairKey, Handle, PairKeyHash> handles_by_key;
  std::vector<PairStatistics> pair_statistics;
  size_t next_evicted = 0;
  LogAverage all_run_times;
};

}  // namespace sapphirecrank::scheduling
