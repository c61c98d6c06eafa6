#include "base/sharded.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

using sapphirecrank::base::Sharded;

TEST_GROUP(Sharded){};

// Guards against lost updates and, with the thread sanitizer, data races when several threads
// change the same shards.
TEST(Sharded, ConcurrentUpdatesAreAllKept) {
  constexpr int kThreadCount = 4;
  constexpr int kKeyCount = 100;
  Sharded<int, std::unordered_map<int, int>> counters(8);
  std::vector<std::thread> threads;
  threads.reserve(kThreadCount);
  for (int i = 0; i < kThreadCount; ++i) {
    threads.emplace_back([&counters] {
      for (int key = 0; key < kKeyCount; ++key) {
        counters.WithShard(key, [key](auto& state) { ++state[key]; });
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  int total = 0;
  counters.ForEachShard([&total](auto& state) {
    for (const auto& [key, count] : state) {
      total += count;
    }
  });
  LONGS_EQUAL(kThreadCount * kKeyCount, total);
}
