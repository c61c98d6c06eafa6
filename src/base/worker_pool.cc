#include "base/worker_pool.h"

#include <utility>

#include "base/thread_name.h"

namespace sapphirecrank::base {

ThreadPool::ThreadPool(const std::string& name, size_t count) {
  for (size_t i = 0; i < count; ++i) {
    this->lanes.push_back(std::make_unique<SerialQueue>());
    SerialQueue& lane = *this->lanes.back();
    lane.thread = std::thread([name, &lane] {
      SetThreadName(name);
      RunLane(lane);
    });
  }
}

ThreadPool::~ThreadPool() { this->Stop(); }

void ThreadPool::Stop() {
  for (const auto& lane : this->lanes) {
    {
      std::lock_guard<std::mutex> lock(lane->mutex);
      lane->stopping = true;
    }
    lane->queue_changed.notify_one();
  }
  for (const auto& lane : this->lanes) {
    if (lane->thread.joinable()) {
      lane->thread.join();
    }
  }
}

void ThreadPool::Enqueue(size_t key, Function function) {
  SerialQueue& lane = *this->lanes[key % this->lanes.size()];
  {
    std::lock_guard<std::mutex> lock(lane.mutex);
    lane.functions.push_back(std::move(function));
  }
  lane.queue_changed.notify_one();
}

void ThreadPool::RunLane(SerialQueue& lane) {
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
