#include "bench/load/workload.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <random>

namespace sapphirecrank::load {

using Json = nlohmann::json;

namespace {

constexpr double kUrgentShare = 0.5;
constexpr double kBulkShare = 0.02;
constexpr double kStragglerShare = 0.001;
constexpr int kStragglerFactor = 30;
constexpr int kDeadlineMs = 20000;
constexpr int kMilliProcessors = 100;

using RandomEngine = std::mt19937_64;

double UniformShare(RandomEngine& random_engine) {
  return std::uniform_real_distribution<double>(0, 1)(random_engine);
}

int UniformInteger(RandomEngine& random_engine, int minimum, int maximum) {
  return std::uniform_int_distribution<int>(minimum, maximum)(random_engine);
}

bool IsPeakHalf(base::Duration time, const LoadSettings& settings) {
  return (time / (settings.rate_period / 2)) % 2 == 1;
}

/// Makes one task and raises `longest_run_time` to its run time if that is longer.
Json MakeTask(RandomEngine& random_engine, const LoadSettings& settings,
              base::Duration& longest_run_time) {
  const auto mean =
      std::chrono::duration_cast<std::chrono::milliseconds>(settings.mean_run_time).count();
  const int64_t declared = std::max<int64_t>(
      1, std::lround((0.5 + UniformShare(random_engine)) * static_cast<double>(mean)));
  const bool is_straggler = UniformShare(random_engine) < kStragglerShare;
  const int64_t actual = is_straggler ? declared * kStragglerFactor : declared;
  longest_run_time = std::max<base::Duration>(longest_run_time, std::chrono::milliseconds(actual));
  return {{"run_time_ms", declared}, {"payload", {{"sleep_ms", actual}}}};
}

Arrival MakeRequest(RandomEngine& random_engine, const LoadSettings& settings) {
  Arrival arrival;
  arrival.priority_class = base::PriorityClass::kUrgent;
  arrival.request_path = "/v1/requests";
  Json body = MakeTask(random_engine, settings, arrival.longest_run_time);
  body["team"] = settings.team;
  body["class"] = "urgent";
  body["deadline_ms"] = kDeadlineMs;
  arrival.request_body = body.dump();
  return arrival;
}

Arrival MakeJob(RandomEngine& random_engine, const LoadSettings& settings, bool is_bulk,
                size_t index) {
  Arrival arrival;
  arrival.priority_class = is_bulk ? base::PriorityClass::kBulk : base::PriorityClass::kOrdinary;
  arrival.task_count =
      is_bulk ? UniformInteger(random_engine, 50, 200) : UniformInteger(random_engine, 1, 20);
  arrival.request_path = "/v1/jobs";
  Json tasks = Json::array();
  for (int i = 0; i < arrival.task_count; ++i) {
    Json task = MakeTask(random_engine, settings, arrival.longest_run_time);
    task["milli_processors"] = kMilliProcessors;
    tasks.push_back(std::move(task));
  }
  const std::string id_prefix = settings.data_centre.empty() ? "" : settings.data_centre + ":";
  arrival.request_body =
      Json({{"submission", id_prefix + settings.run_name + "-" + std::to_string(index)},
            {"team", settings.team},
            {"class", base::PriorityClassName(arrival.priority_class)},
            {"deadline_ms", kDeadlineMs},
            {"tasks", std::move(tasks)}})
          .dump();
  return arrival;
}

Arrival MakeArrival(RandomEngine& random_engine, const LoadSettings& settings, size_t index) {
  const double class_draw = UniformShare(random_engine);
  if (class_draw < kUrgentShare) {
    return MakeRequest(random_engine, settings);
  }
  return MakeJob(random_engine, settings, class_draw > 1 - kBulkShare, index);
}

}  // namespace

std::vector<Arrival> MakeArrivals(const LoadSettings& settings) {
  RandomEngine random_engine(settings.seed);
  std::vector<Arrival> arrivals;
  const double highest_rate =
      settings.base_rate_per_second * std::max(1.0, settings.peak_rate_factor);
  const double low_half_share = settings.base_rate_per_second / highest_rate;
  std::exponential_distribution<double> interarrival_seconds(highest_rate);
  base::Duration time{0};
  while (true) {
    time += std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(interarrival_seconds(random_engine)));
    if (time >= settings.duration) {
      return arrivals;
    }
    // Thinning: arrivals are drawn at the highest rate, and in the low half a share of them is
    // kept.
    const bool is_kept = IsPeakHalf(time, settings) || UniformShare(random_engine) < low_half_share;
    if (is_kept) {
      Arrival arrival = MakeArrival(random_engine, settings, arrivals.size());
      arrival.arrival_time = time;
      arrivals.push_back(std::move(arrival));
    }
  }
}

}  // namespace sapphirecrank::load
