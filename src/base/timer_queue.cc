#include "base/timer_queue.h"

#include "base/thread_name.h"

namespace sapphirecrank::base {

TimerQueue::TimerQueue(const std::string& name) {
  this->thread = std::thread([this, name] {
    SetThreadName(name);
    this->Run();
  });
}

TimerQueue::~TimerQueue() {
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
  }
  this->changed.notify_one();
  this->thread.join();
}

void TimerQueue::RunAfter(Duration delay, Function function) {
  this->Add(SteadyClock()() + delay, std::move(function));
}

void TimerQueue::RunEvery(Duration period, Function function) {
  this->RunAfter(period, [this, period, function = std::move(function)] {
    function();
    this->RunEvery(period, function);
  });
}

void TimerQueue::Add(TimePoint due, Function function) {
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->functions.emplace(std::make_pair(due, this->next_number++), std::move(function));
  }
  this->changed.notify_one();
}

void TimerQueue::Run() {
  std::unique_lock<std::mutex> lock(this->mutex);
  while (!this->stopping) {
    if (this->functions.empty()) {
      this->changed.wait(lock);
      continue;
    }
    auto first = this->functions.begin();
    const TimePoint due = first->first.first;
    const Duration left = due - SteadyClock()();
    if (left > Duration(0)) {
      this->changed.wait_for(lock, left);
      continue;
    }
    Function function = std::move(first->second);
    this->functions.erase(first);
    lock.unlock();
    function();
    lock.lock();
  }
}

}  // namespace sapphirecrank::base
