#pragma once

#include <functional>
#include <thread>
#include <vector>

namespace sapphirecrank::limits {

/// Runs `function(0)` to `function(3)` on four threads at once and waits for them.
inline void RunOnThreads(const std::function<void(int)>& function) {
  constexpr int kThreads = 4;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back(function, i);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

}  // namespace sapphirecrank::limits
