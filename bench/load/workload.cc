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

using Random = std::mt19937_64;

double UniformShare(Random& random) { return std::uniform_real_distribution<double>(0, 1)(random); }

int UniformInteger(Random& random, int lowest, int highest) {
  return std::uniform_int_distribution<int>(lowest, highest)(random);
}

bool IsPeakHalf(base::Duration at, const LoadSettings& settings) {
  return (at / (settings.rate_period / 2)) % 2 == 1;
}

/// Makes one task and raises `longest` to its run time.
Json MakeTask(Random& random, const LoadSettings& settings, base::Duration& longest) {
  const auto mean =
      std::chrono::duration_cast<std::chrono::milliseconds>(settings.mean_run_time).count();
  const int64_t declared =
      std::max<int64_t>(1, std::lround((0.5 + UniformShare(random)) * static_cast<double>(mean)));
  const bool is_straggler = UniformShare(random) < kStragglerShare;
  const int64_t actual = is_straggler ? declared * kStragglerFactor : declared;
  longest = std::max<base::Duration>(longest, std::chrono::milliseconds(actual));
  return {{"run_time_ms", declared}, {"payload", {{"sleep_ms", actual}}}};
}

Arrival MakeRequest(Random& random, const LoadSettings& settings) {
  Arrival arrival;
  arrival.priority_class = base::PriorityClass::kUrgent;
  arrival.request_path = "/v1/requests";
  Json body = MakeTask(random, settings, arrival.longest_run_time);
  body["team"] = settings.team;
  body["class"] = "urgent";
  body["deadline_ms"] = kDeadlineMs;
  arrival.request_body = body.dump();
  return arrival;
}

Arrival MakeJob(Random& random, const LoadSettings& settings, bool is_bulk, size_t number) {
  Arrival arrival;
  arrival.priority_class = is_bulk ? base::PriorityClass::kBulk : base::PriorityClass::kOrdinary;
  arrival.task_count = is_bulk ? UniformInteger(random, 50, 200) : UniformInteger(random, 1, 20);
  arrival.request_path = "/v1/jobs";
  Json tasks = Json::array();
  for (int i = 0; i < arrival.task_count; ++i) {
    Json task = MakeTask(random, settings, arrival.longest_run_time);
    task["milli_processors"] = kMilliProcessors;
    tasks.push_back(std::move(task));
  }
  const std::string home = settings.data_centre.empty() ? "" : settings.data_centre + ":";
  arrival.request_body =
      Json({{"submission", home + settings.run_name + "-" + std::to_string(number)},
            {"team", settings.team},
            {"class", base::PriorityClassName(arrival.priority_class)},
            {"deadline_ms", kDeadlineMs},
            {"tasks", std::move(tasks)}})
          .dump();
  return arrival;
}

Arrival MakeArrival(Random& random, const LoadSettings& settings, size_t number) {
  const double kind = UniformShare(random);
  if (kind < kUrgentShare) {
    return MakeRequest(random, settings);
  }
  return MakeJob(random, settings, kind > 1 - kBulkShare, number);
}

}  // namespace

std::vector<Arrival> MakeArrivals(const LoadSettings& settings) {
  Random random(settings.seed);
  std::vector<Arrival> arrivals;
  const double highest_rate =
      settings.base_rate_per_second * std::max(1.0, settings.peak_rate_factor);
  const double lowest_share = settings.base_rate_per_second / highest_rate;
  std::exponential_distribution<double> gap(highest_rate);
  base::Duration at{0};
  while (true) {
    at += std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(gap(random)));
    if (at >= settings.duration) {
      return arrivals;
    }
    // Thinning: arrivals of the highest rate are dropped in the low half.
    const bool is_kept = IsPeakHalf(at, settings) || UniformShare(random) < lowest_share;
    if (is_kept) {
      Arrival arrival = MakeArrival(random, settings, arrivals.size());
      arrival.arrival_time = at;
      arrivals.push_back(std::move(arrival));
    }
  }
}

}  // namespace sapphirecrank::load
