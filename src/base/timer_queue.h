#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include "base/time.h"

namespace sapphirecrank::base {

/// Runs functions at given times of `SteadyClock`, on a thread of its own.
///
/// Thread safety: all methods may be called from any thread, also from a timer function, except the
/// destructor, which must not run on the timer thread.
class TimerQueue {
 public:
  using Function = std::function<void()>;

  /// Starts the thread. `name` is its name and may have at most 15 characters.
  explicit TimerQueue(const std::string& name);

  /// Drops the functions that have not started and waits for a running one.
  ~TimerQueue();

  TimerQueue(const TimerQueue&) = delete;
  TimerQueue& operator=(const TimerQueue&) = delete;

  /// Runs `function` once after `delay`. The function must be short and must not wait.
  void RunAfter(Duration delay, Function function);

  /// Runs `function` after `period`, and again each time `period` after it returned, until this
  /// object is destroyed. The function must be short and must not wait.
  void RunEvery(Duration period, Function function);

 private:
  void RunTimers();
  void AddTimer(TimePoint due_at, Function function);

  std::mutex mutex;
  std::condition_variable timers_changed;
  // By due time; the counter keeps functions with the same due time in the order of their calls.
  std::map<std::pair<TimePoint, uint64_t>, Function> timers;
  uint64_t next_timer_number = 0;
  bool is_stopping = false;
  std::thread thread;
};

}  // namespace sapphirecrank::base
