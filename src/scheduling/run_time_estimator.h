#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "scheduling/run_time_estimate.h"

namespace sapphirecrank::scheduling {

/// Learns run times for each team and task kind.
///
/// For each pair it keeps two predictors, the typical run time of the kind and the typical ratio of
/// run time to declared time, and uses the one with the smaller error. A kind without samples
/// starts from its team's typical run time and the declared one. The number of pairs is bounded;
/// the pair that was added first is forgotten first. Thread safety: none; the owner holds its lock.
class RunTimeEstimator {
 public:
  /// Names a pair of team and kind; stays safe to use after the pair was forgotten.
  struct Handle {
    uint32_t index = 0;
    uint32_t generation = 0;
  };

  /// Creates an estimator without samples that keeps at most `capacity` pairs. Precondition:
  /// `capacity` >= 2.
  explicit RunTimeEstimator(size_t capacity);

  /// Returns the handle of a pair, which is added if it is unknown.
  Handle FindOrAddPair(const base::TeamId& team, const base::TaskKind& kind);

  /// Returns the estimate for a task. `declared` is zero if unknown.
  RunTimeEstimate Estimate(Handle handle, base::Duration declared) const;

  /// Learns from a task that succeeded after `response_time`. A forgotten pair is ignored.
  void AddSample(Handle handle, base::Duration declared, base::Duration elapsed);

 private:
  /// Moving average of a logarithm and of its absolute error.
  struct LogAverage {
    double mean = 0;
    double mean_absolute_error = 0;
    uint32_t sample_count = 0;

    void AddLogarithm(double value);
  };

  struct KindKey {
    base::TeamId team;
    base::TaskKind kind;

    friend bool operator==(const KindKey& a, const KindKey& b) {
      return a.team == b.team && a.kind == b.kind;
    }
  };

  struct KindKeyHash {
    size_t operator()(const KindKey& key) const;
  };

  struct KindStatistics {
    uint32_t generation = 0;
    const KindKey* key = nullptr;
    Handle team_handle;
    LogAverage log_run_time;
    LogAverage log_ratio;
    /// Exponentials of the averages, kept because each task needs them.
    double typical_seconds = 0;
    double typical_ratio = 0;
    /// Factor below the typical value that is hardly undercut.
    double optimistic_factor = 0;

    /// Tells whether the ratio to the declared run time predicts better.
    bool IsRatioMoreAccurate(base::Duration declared) const {
      return declared > base::Duration(0) && this->log_ratio.sample_count > 1 &&
             this->log_ratio.mean_absolute_error < this->log_run_time.mean_absolute_error;
    }
    void AddSample(double log_seconds, double log_declared);
  };

  Handle AddPair(const KindKey& key);
  const KindStatistics* FindPair(Handle handle) const;
  double PriorLogSeconds(const KindStatistics& pair, base::Duration declared) const;

  size_t maximum_pairs;
  std::unordered_map<KindKey, Handle, KindKeyHash> handles_by_key;
  std::vector<KindStatistics> kind_statistics;
  size_t next_evicted = 0;
  LogAverage all_run_times;
};

}  // namespace sapphirecrank::scheduling
