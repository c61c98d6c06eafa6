#pragma once

#include <functional>
#include <thread>
#include <vector>

namespace sapphirecrank::limits {

/// Runs `function(0)` to `function(3)` on four threads at once and waits for them.
inline void RunOnThreads(const std::function<void(int)>& function) {
  constexpr int kThreadCount = 4;
  std::vector<std::thread> threads;
  threads.reserve(kThreadCount);
  for (int index = 0; index < kThreadCount; ++index) {
    threads.emplace_back(function, index);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

}  // namespace sapphirecrank::limits
