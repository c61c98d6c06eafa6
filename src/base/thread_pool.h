#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sapphirecrank::base {

/// Runs functions on a fixed number of threads; functions with the same key run in order.
///
/// Thread safety: `Run` may be called from any thread, also from a function of the pool. `Stop` and
/// the destructor must not run on a thread of the pool, nor at the same time.
class ThreadPool {
 public:
  using Function = std::function<void()>;

  /// Starts `count` threads called `name`. Precondition: `count` > 0.
  ThreadPool(const std::string& name, size_t count);

  /// Stops as `Stop` does.
  ~ThreadPool();

  ThreadPool(const ThreadPool&) = delete;
  ThreadPool& operator=(const ThreadPool&) = delete;

  /// Queues `function`. Functions with equal `key` run one after the other in order of arrival.
  void Enqueue(size_t key, Function function);

  /// Runs what is queued, then joins the threads. What is queued later is never run.
  void Stop();

 private:
  struct SerialQueue {
    std::mutex mutex;
    std::condition_variable queue_changed;
    std::deque<Function> functions;
    bool stopping = false;
    std::thread thread;
  };

  static void RunQueue(SerialQueue& lane);

  std::vector<std::unique_ptr<SerialQueue>> queues;
};

}  // namespace sapphirecrank::base
