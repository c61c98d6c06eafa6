#include "scheduling/run_time_estimator.h"

#include <algorithm>
#include <cmath>

#include "scheduling/seconds.h"

namespace sapphirecrank::scheduling {

using base::Duration;

namespace {
/// Smallest weight of a new sample in the moving averages.
constexpr double kMinimumGain = 0.05;
/// Logarithm of 4. A sample counts as at most four times the average, so that a straggler, which
/// takes 30 times its usual run time, changes the estimate little.
constexpr double kMaximumLogDeviation = 1.3863;
constexpr uint32_t kMinimumSamplesForClipping = 4;
/// From this number of samples on, the prior no longer counts, and tasks may be refused because of
/// the learned run time.
constexpr uint32_t kMinimumReliableSamples = 8;
/// Declared run times are off by up to this factor.
constexpr int kMaximumDeclarationErrorFactor = 10;
constexpr Duration kDefaultRunTime = std::chrono::milliseconds(300);
constexpr double kMinimumSeconds = 1e-4;
/// On a logarithmic scale, the optimistic run time is this many mean absolute errors below the
/// typical one.
constexpr double kOptimisticErrorCount = 3;

double LogSeconds(Duration duration) {
  return std::log(std::max(kMinimumSeconds, std::chrono::duration<double>(duration).count()));
}

Duration DurationFromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

Duration DurationFromLogSeconds(double logarithm) {
  return DurationFromSeconds(std::exp(logarithm));
}
}  // namespace

void RunTimeEstimator::LogAverage::AddLogarithm(double value) {
  if (this->sample_count >= kMinimumSamplesForClipping) {
    value = std::min(value, this->mean + kMaximumLogDeviation);
  }
  const double deviation = value - this->mean;
  ++this->sample_count;
  const double gain = std::max(kMinimumGain, 1.0 / this->sample_count);
  if (this->sample_count > 1) {
    this->mean_absolute_error += std::max(kMinimumGain, 1.0 / (this->sample_count - 1)) *
                                 (std::abs(deviation) - this->mean_absolute_error);
  }
  this->mean += gain * deviation;
}

void RunTimeEstimator::PairStatistics::AddSample(double log_seconds, double log_declared) {
  this->log_run_time.AddLogarithm(log_seconds);
  this->typical_seconds = std::exp(this->log_run_time.mean);
  if (log_declared != 0) {
    this->log_ratio.AddLogarithm(log_seconds - log_declared);
    this->typical_ratio = std::exp(this->log_ratio.mean);
  }
  const double error =
      this->log_ratio.sample_count > 1
          ? std::min(this->log_ratio.mean_absolute_error, this->log_run_time.mean_absolute_error)
          : this->log_run_time.mean_absolute_error;
  this->optimistic_factor = std::exp(-kOptimisticErrorCount * error);
}

size_t RunTimeEstimator::PairKeyHash::operator()(const PairKey& key) const {
  constexpr size_t kMultiplier = 0x9e3779b97f4a7c15;
  return std::hash<base::TeamId>()(key.team) * kMultiplier ^ std::hash<base::TaskKind>()(key.kind);
}

RunTimeEstimator::RunTimeEstimator(size_t capacity) : maximum_pairs(capacity) {}

RunTimeEstimator::Handle RunTimeEstimator::FindOrAddPair(const base::TeamId& team,
                                                         const base::TaskKind& kind) {
  const PairKey key{team, kind};
  auto found = this->handles_by_key.find(key);
  if (found != this->handles_by_key.end()) {
    return found->second;
  }
  const PairKey team_key{team, base::TaskKind()};
  auto found_team = this->handles_by_key.find(team_key);
  const Handle team_handle =
      found_team == this->handles_by_key.end() ? this->AddPair(team_key) : found_team->second;
  if (kind.empty()) {
    return team_handle;
  }
  const Handle handle = this->AddPair(key);
  this->pair_statistics[handle.index].team_handle = team_handle;
  return handle;
}

RunTimeEstimate RunTimeEstimator::Estimate(Handle handle, Duration declared_run_time) const {
  const PairStatistics* statistics = this->FindPair(handle);
  if (statistics == nullptr) {
    return {kDefaultRunTime, Duration(0)};
  }
  const uint32_t sample_count = statistics->log_run_time.sample_count;
  const double learned_seconds = statistics->IsRatioMoreAccurate(declared_run_time)
                                     ? statistics->typical_ratio * ToSeconds(declared_run_time)
                                     : statistics->typical_seconds;
  if (sample_count >= kMinimumReliableSamples) {
    return {DurationFromSeconds(learned_seconds),
            DurationFromSeconds(learned_seconds * statistics->optimistic_factor)};
  }
  const double prior_log_seconds = this->PriorLogSeconds(*statistics, declared_run_time);
  if (sample_count == 0) {
    const Duration expected = DurationFromLogSeconds(prior_log_seconds);
    const Duration lower_run_time =
        declared_run_time > Duration(0) ? std::min(declared_run_time, expected) : Duration(0);
    return {expected, lower_run_time / kMaximumDeclarationErrorFactor};
  }
  // The prior counts as one sample.
  const double prior_weight = 1.0 / (1.0 + sample_count);
  return {DurationFromLogSeconds(prior_weight * prior_log_seconds +
                                 (1 - prior_weight) * std::log(learned_seconds)),
          Duration(0)};
}

void RunTimeEstimator::AddSample(Handle handle, Duration declared_run_time,
                                 Duration response_time) {
  const double log_seconds = LogSeconds(response_time);
  this->all_run_times.AddLogarithm(log_seconds);
  if (this->FindPair(handle) == nullptr) {
    return;
  }
  PairStatistics& statistics = this->pair_statistics[handle.index];
  statistics.AddSample(log_seconds,
                       declared_run_time > Duration(0) ? LogSeconds(declared_run_time) : 0);
  if (this->FindPair(statistics.team_handle) != nullptr &&
      statistics.team_handle.index != handle.index) {
    this->pair_statistics[statistics.team_handle.index].log_run_time.AddLogarithm(log_seconds);
  }
}

RunTimeEstimator::Handle RunTimeEstimator::AddPair(const PairKey& key) {
  size_t index = this->pair_statistics.size();
  if (index < this->maximum_pairs) {
    this->pair_statistics.emplace_back();
  } else {
    index = this->next_evicted;
    this->next_evicted = (this->next_evicted + 1) % this->maximum_pairs;
    this->handles_by_key.erase(PairKey(*this->pair_statistics[index].key));
  }
  PairStatistics& statistics = this->pair_statistics[index];
  const uint32_t generation = statistics.generation + 1;
  statistics = PairStatistics();
  statistics.generation = generation;
  const Handle handle{static_cast<uint32_t>(index), generation};
  statistics.key = &this->handles_by_key.emplace(key, handle).first->first;
  return handle;
}

const RunTimeEstimator::PairStatistics* RunTimeEstimator::FindPair(Handle handle) const {
  if (handle.index >= this->pair_statistics.size()) {
    return nullptr;
  }
  const PairStatistics& statistics = this->pair_statistics[handle.index];
  return statistics.generation == handle.generation ? &statistics : nullptr;
}

double RunTimeEstimator::PriorLogSeconds(const PairStatistics& statistics,
                                         Duration declared_run_time) const {
  double typical_log_seconds =
      this->all_run_times.sample_count > 0 ? this->all_run_times.mean : LogSeconds(kDefaultRunTime);
  const PairStatistics* team_statistics = this->FindPair(statistics.team_handle);
  if (team_statistics != nullptr && team_statistics->log_run_time.sample_count > 0) {
    typical_log_seconds = team_statistics->log_run_time.mean;
  }
  return declared_run_time > Duration(0) ? (typical_log_seconds + LogSeconds(declared_run_time)) / 2
                                         : typical_log_seconds;
}

}  // namespace sapphirecrank::scheduling
