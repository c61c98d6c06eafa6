// Sends open-loop load to running entry hosts: bench_load [OPTION...] ENTRY_HOST...

#include <curl/curl.h>
#include <fmt/format.h>
#include <popt.h>

#include <chrono>
#include <random>
#include <string>

#include "bench/load/load_generator.h"
#include "bench/load/workload.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)

namespace {

/// Values of the options. popt owns the strings.
struct Options {
  int duration_seconds = 10;
  double base_rate_per_second = 50;
  double peak_rate_factor = 5;
  int period_seconds = 4;
  int run_time_ms = 50;
  int seed = 1;
  char* team = nullptr;
  char* data_centre = nullptr;
};

load::LoadSettings ToSettings(const Options& options, poptContext context) {
  load::LoadSettings settings;
  settings.duration = std::chrono::seconds(options.duration_seconds);
  settings.base_rate_per_second = options.base_rate_per_second;
  settings.peak_rate_factor = options.peak_rate_factor;
  settings.rate_period = std::chrono::seconds(options.period_seconds);
  settings.mean_run_time = std::chrono::milliseconds(options.run_time_ms);
  settings.seed = static_cast<uint64_t>(options.seed);
  settings.team = options.team == nullptr ? settings.team : options.team;
  // Submission ids begin with the time of their creation.
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  settings.run_name = fmt::format("{}-load-{}", now.count(), std::random_device()());
  settings.data_centre = options.data_centre == nullptr ? "" : options.data_centre;
  while (const char* host = poptGetArg(context)) {
    settings.entry_hosts.emplace_back(host);
  }
  return settings;
}

bool IsUsable(const load::LoadSettings& settings) {
  return !settings.entry_hosts.empty() && settings.base_rate_per_second > 0 &&
         settings.peak_rate_factor >= 1 && settings.duration.count() > 0 &&
         settings.rate_period.count() > 0 && settings.mean_run_time.count() > 0;
}

void RunLoad(const load::LoadSettings& settings) {
  const std::vector<load::Arrival> arrivals = load::MakeArrivals(settings);
  int task_count = 0;
  for (const load::Arrival& arrival : arrivals) {
    task_count += arrival.task_count;
  }
  fmt::print("seed {}: {} arrivals with {} tasks in {} s\n", settings.seed, arrivals.size(),
             task_count,
             std::chrono::duration_cast<std::chrono::seconds>(settings.duration).count());
  load::LoadGenerator generator(settings, [&](size_t sent, size_t open) {
    fmt::print(stderr, "sent {} of {} arrivals, {} await their response\n", sent, arrivals.size(),
               open);
  });
  generator.Run(arrivals);
  fmt::print("{}\n", load::ClassResults::TableHeading());
  for (base::PriorityClass priority_class :
       {base::PriorityClass::kUrgent, base::PriorityClass::kOrdinary, base::PriorityClass::kBulk}) {
    const std::string name(base::PriorityClassName(priority_class));
    fmt::print("{}\n", generator.Results(priority_class).TableRow(name));
  }
  const std::chrono::duration<double, std::milli> delay = generator.SendDelayP999();
  fmt::print(
      "sent at most {:.1f} ms late (p99.9); response times are measured from the intended time\n",
      delay.count());
}

}  // namespace

int main(int argc, const char** argv) {
  Options option_values;
  const poptOption options[] = {
      {"seconds", 't', POPT_ARG_INT, &option_values.duration_seconds, 0, "duration of the run",
       "S"},
      {"rate", 'r', POPT_ARG_DOUBLE, &option_values.base_rate_per_second, 0,
       "arrivals per second in the low half of a period", "N"},
      {"swing", 'w', POPT_ARG_DOUBLE, &option_values.peak_rate_factor, 0,
       "ratio of the high rate to the low rate", "N"},
      {"period", 'p', POPT_ARG_INT, &option_values.period_seconds, 0,
       "length of a period of the rate", "S"},
      {"run-time", 'u', POPT_ARG_INT, &option_values.run_time_ms, 0, "mean run time of a task",
       "MS"},
      {"seed", 'd', POPT_ARG_INT, &option_values.seed, 0, "seed of the arrivals", "N"},
      {"team", 'm', POPT_ARG_STRING, &option_values.team, 0, "team to submit for", "TEAM"},
      {"data-centre", 'c', POPT_ARG_STRING, &option_values.data_centre, 0,
       "data centre that prefixes the submission ids", "NAME"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("load", argc, argv, options, 0);
  poptSetOtherOptionHelp(context, "[OPTION...] ENTRY_HOST...");
  const int parsed = poptGetNextOpt(context);
  const load::LoadSettings settings = ToSettings(option_values, context);
  const bool is_usable = parsed == -1 && IsUsable(settings);
  if (is_usable) {
    curl_global_init(CURL_GLOBAL_DEFAULT);
    RunLoad(settings);
  } else {
    poptPrintUsage(context, stderr, 0);
  }
  poptFreeContext(context);
  return is_usable ? 0 : 2;
}
