#include "scheduling/run_time_estimator.h"

#include <algorithm>
#include <cmath>

#include "scheduling/seconds.h"

namespace sapphirecrank::scheduling {

using base::Duration;

namespace {
constexpr double kMinimumGain = 0.05;
/// A sample counts as at most four times the average (this is the logarithm), so that a straggler,
/// which takes 30 times its run time, moves the estimate little.
constexpr double kMaximumLogDeviation = 1.3863;
constexpr uint32_t kMinimumSamplesForClipping = 4;
/// Samples from which on the prior no longer counts and work may be refused by the estimate.
constexpr uint32_t kMinimumReliableSamples = 8;
/// Declared run times are off by up to this factor.
constexpr int kMaximumDeclarationErrorFactor = 10;
constexpr Duration kDefaultRunTime = std::chrono::milliseconds(300);
constexpr double kMinimumSeconds = 1e-4;
/// Average absolute errors below the average that a run time hardly undercuts.
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

void RunTimeEstimator::KindStatistics::AddSample(double log_seconds, double log_declared) {
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

size_t RunTimeEstimator::KindKeyHash::operator()(const KindKey& key) const {
  constexpr size_t kMultiplier = 0x9e3779b97f4a7c15;
  return std::hash<base::TeamId>()(key.team) * kMultiplier ^ std::hash<base::TaskKind>()(key.kind);
}

RunTimeEstimator::RunTimeEstimator(size_t capacity) : maximum_pairs(capacity) {}

RunTimeEstimator::Handle RunTimeEstimator::FindOrAddPair(const base::TeamId& team,
                                                         const base::TaskKind& kind) {
  const KindKey key{team, kind};
  auto found = this->handles_by_key.find(key);
  if (found != this->handles_by_key.end()) {
    return found->second;
  }
  const KindKey team_key{team, base::TaskKind()};
  auto found_team = this->handles_by_key.find(team_key);
  const Handle team_handle =
      found_team == this->handles_by_key.end() ? this->AddPair(team_key) : found_team->second;
  if (kind.empty()) {
    return team_handle;
  }
  const Handle handle = this->AddPair(key);
  this->kind_statistics[handle.index].team_handle = team_handle;
  return handle;
}

RunTimeEstimate RunTimeEstimator::Estimate(Handle handle, Duration declared) const {
  const KindStatistics* pair = this->FindPair(handle);
  if (pair == nullptr) {
    return {kDefaultRunTime, Duration(0)};
  }
  const uint32_t samples = pair->log_run_time.sample_count;
  const double learned = pair->IsRatioMoreAccurate(declared)
                             ? pair->typical_ratio * ToSeconds(declared)
                             : pair->typical_seconds;
  if (samples >= kMinimumReliableSamples) {
    return {DurationFromSeconds(learned), DurationFromSeconds(learned * pair->optimistic_factor)};
  }
  const double prior = this->PriorLogSeconds(*pair, declared);
  if (samples == 0) {
    const Duration expected = DurationFromLogSeconds(prior);
    const Duration floor = declared > Duration(0) ? std::min(declared, expected) : Duration(0);
    return {expected, floor / kMaximumDeclarationErrorFactor};
  }
  // The prior counts as one sample.
  const double weight = 1.0 / (1.0 + samples);
  return {DurationFromLogSeconds(weight * prior + (1 - weight) * std::log(learned)), Duration(0)};
}

void RunTimeEstimator::AddSample(Handle handle, Duration declared, Duration elapsed) {
  const double seconds = LogSeconds(elapsed);
  this->all_run_times.AddLogarithm(seconds);
  if (this->FindPair(handle) == nullptr) {
    return;
  }
  KindStatistics& pair = this->kind_statistics[handle.index];
  pair.AddSample(seconds, declared > Duration(0) ? LogSeconds(declared) : 0);
  if (this->FindPair(pair.team_handle) != nullptr && pair.team_handle.index != handle.index) {
    this->kind_statistics[pair.team_handle.index].log_run_time.AddLogarithm(seconds);
  }
}

RunTimeEstimator::Handle RunTimeEstimator::AddPair(const KindKey& key) {
  size_t index = this->kind_statistics.size();
  if (index < this->maximum_pairs) {
    this->kind_statistics.emplace_back();
  } else {
    index = this->next_evicted;
    this->next_evicted = (this->next_evicted + 1) % this->maximum_pairs;
    this->handles_by_key.erase(KindKey(*this->kind_statistics[index].key));
  }
  KindStatistics& pair = this->kind_statistics[index];
  const uint32_t generation = pair.generation + 1;
  pair = KindStatistics();
  pair.generation = generation;
  const Handle handle{static_cast<uint32_t>(index), generation};
  pair.key = &this->handles_by_key.emplace(key, handle).first->first;
  return handle;
}

const RunTimeEstimator::KindStatistics* RunTimeEstimator::FindPair(Handle handle) const {
  if (handle.index >= this->kind_statistics.size()) {
    return nullptr;
  }
  const KindStatistics& pair = this->kind_statistics[handle.index];
  return pair.generation == handle.generation ? &pair : nullptr;
}

double RunTimeEstimator::PriorLogSeconds(const KindStatistics& pair, Duration declared) const {
  double typical =
      this->all_run_times.sample_count > 0 ? this->all_run_times.mean : LogSeconds(kDefaultRunTime);
  const KindStatistics* team = this->FindPair(pair.team_handle);
  if (team != nullptr && team->log_run_time.sample_count > 0) {
    typical = team->log_run_time.mean;
  }
  return declared > Duration(0) ? (typical + LogSeconds(declared)) / 2 : typical;
}

}  // namespace sapphirecrank::scheduling
