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
/// Thread safety: `Enqueue` may be called from any thread, also from a function of the pool. `Stop`
/// and the destructor must not run on a thread of the pool or concurrently with each other.
class ThreadPool {
 public:
  using Function = std::function<void()>;

  /// Starts `count` threads called `name`. Precondition: `count` > 0.
  ThreadPool(const std::string& name, size_t count);

  /// Stops as `Stop` does.
  ~ThreadPool();

  ThreadPool(const ThreadPool&) = delete;
  ThreadPool& operator=(const ThreadPool&) = delete;

  /// Queues `function` and returns. Functions with the same `key` run one at a time, in the order
  /// of their calls.
  void Enqueue(size_t key, Function function);

  /// Runs the queued functions, then joins the threads. A function that is queued after its thread
  /// has ended never runs.
  void Stop();

 private:
  struct SerialQueue {
    std::mutex mutex;
    std::condition_variable queue_changed;
    std::deque<Function> functions;
    bool is_stopping = false;
    std::thread thread;
  };

  static void RunQueue(SerialQueue& queue);

  std::vector<std::unique_ptr<SerialQueue>> queues;
};

}  // namespace sapphirecrank::base
