#include <fmt/format.h>

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "tests/consensus/random_events.h"

namespace {

using sapphirecrank::consensus::RandomEvents;

constexpr int kThreadCount = 4;
constexpr int kEventsPerSequence = 60;
constexpr uint32_t kEventValueRange = 1U << 24;

struct Totals {
  std::mutex mutex;
  uint64_t injected_faults = 0;
  std::map<uint64_t, std::vector<std::string>> violations;
};

void RunEventSequence(uint64_t seed, Totals& totals) {
  std::mt19937_64 random_engine(seed);
  RandomEvents sequence(seed);
  for (int i = 0; i < kEventsPerSequence; ++i) {
    sequence.ApplyEvent(static_cast<uint32_t>(random_engine() % kEventValueRange));
  }
  bool is_safe = sequence.Finish();
  std::lock_guard<std::mutex> lock(totals.mutex);
  totals.injected_faults += static_cast<uint64_t>(sequence.injected_fault_count());
  if (!is_safe) {
    totals.violations[seed] = sequence.violations();
  }
}

int PrintUsage() {
  fmt::print(stderr, "usage: bench_torture --sequences N --seed S\n");
  return 2;
}

}  // namespace

// Runs N sequences of random events on a simulated consensus group; sequence i has the seed S + i.
int main(int argc, char** argv) {
  uint64_t sequence_count = 1000;
  uint64_t seed = 1;
  for (int i = 1; i < argc; i += 2) {
    std::string option = argv[i];
    if (i + 1 == argc || (option != "--sequences" && option != "--seed")) {
      return PrintUsage();
    }
    (option == "--seed" ? seed : sequence_count) = std::strtoull(argv[i + 1], nullptr, 10);
  }
  Totals totals;
  std::atomic<uint64_t> next{0};
  std::vector<std::thread> threads;
  threads.reserve(kThreadCount);
  for (int i = 0; i < kThreadCount; ++i) {
    threads.emplace_back([&] {
      for (uint64_t sequence_index = next++; sequence_index < sequence_count;
           sequence_index = next++) {
        RunEventSequence(seed + sequence_index, totals);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  for (const auto& [failed_seed, violations] : totals.violations) {
    for (const std::string& violation : violations) {
      fmt::print("violation: seed {}: {}\n", failed_seed, violation);
    }
  }
  fmt::print("sequences {} events {} faults {} sequences with violations {}\n", sequence_count,
             sequence_count * kEventsPerSequence, totals.injected_faults, totals.violations.size());
  return totals.violations.empty() ? 0 : 1;
}
