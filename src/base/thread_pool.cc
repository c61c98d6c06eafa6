#include "base/thread_pool.h"

#include <utility>

#include "base/thread_name.h"

namespace sapphirecrank::base {

ThreadPool::ThreadPool(const std::string& name, size_t count) {
  for (size_t i = 0; i < count; ++i) {
    this->queues.push_back(std::make_unique<SerialQueue>());
    SerialQueue& queue = *this->queues.back();
    queue.thread = std::thread([name, &queue] {
      SetThreadName(name);
      RunQueue(queue);
    });
  }
}

ThreadPool::~ThreadPool() { this->Stop(); }

void ThreadPool::Stop() {
  for (const auto& queue : this->queues) {
    {
      std::lock_guard<std::mutex> lock(queue->mutex);
      queue->is_stopping = true;
    }
    queue->queue_changed.notify_one();
  }
  for (const auto& queue : this->queues) {
    if (queue->thread.joinable()) {
      queue->thread.join();
    }
  }
}

void ThreadPool::Enqueue(size_t key, Function function) {
  SerialQueue& queue = *this->queues[key % this->queues.size()];
  {
    std::lock_guard<std::mutex> lock(queue.mutex);
    queue.functions.push_back(std::move(function));
  }
  queue.queue_changed.notify_one();
}

void ThreadPool::RunQueue(SerialQueue& queue) {
  std::unique_lock<std::mutex> lock(queue.mutex);
  while (true) {
    queue.queue_changed.wait(lock,
                             [&queue] { return queue.is_stopping || !queue.functions.empty(); });
    if (queue.functions.empty()) {
      return;
    }
    Function function = std::move(queue.functions.front());
    queue.functions.pop_front();
    lock.unlock();
    function();
    lock.lock();
  }
}

}  // namespace sapphirecrank::base
