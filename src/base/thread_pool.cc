#include "base/thread_pool.h"

#include <utility>

#include "base/thread_name.h"

namespace sapphirecrank::base {

ThreadPool::ThreadPool(const std::string& name, size_t count) {
  for (size_t i = 0; i < count; ++i) {
    this->queues.push_back(std::make_unique<SerialQueue>());
    SerialQueue& lane = *this->queues.back();
    lane.thread = std::thread([name, &lane] {
      SetThreadName(name);
      RunQueue(lane);
    });
  }
}

ThreadPool::~ThreadPool() { this->Stop(); }

void ThreadPool::Stop() {
  for (const auto& lane : this->queues) {
    {
      std::lock_guard<std::mutex> lock(lane->mutex);
      lane->stopping = true;
    }
    lane->queue_changed.notify_one();
  }
  for (const auto& lane : this->queues) {
    if (lane->thread.joinable()) {
      lane->thread.join();
    }
  }
}

void ThreadPool::Enqueue(size_t key, Function function) {
  SerialQueue& lane = *this->queues[key % this->queues.size()];
  {
    std::lock_guard<std::mutex> lock(lane.mutex);
    lane.functions.push_back(std::move(function));
  }
  lane.queue_changed.notify_one();
}

void ThreadPool::RunQueue(SerialQueue& lane) {
  std::unique_lock<std::mutex> lock(lane.mutex);
  while (true) {
    lane.queue_changed.wait(lock, [&lane] { return lane.stopping || !lane.functions.empty(); });
    if (lane.functions.empty()) {
      return;
    }
    Function function = std::move(lane.functions.front());
    lane.functions.pop_front();
    lock.unlock();
    function();
    lock.lock();
  }
}

}  // namespace sapphirecrank::base
