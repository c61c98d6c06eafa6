#include "base/timer_queue.h"

#include "base/thread_name.h"

namespace sapphirecrank::base {

TimerQueue::TimerQueue(const std::string& name) {
  this->thread = std::thread([this, name] {
    SetThreadName(name);
    this->RunTimers();
  });
}

TimerQueue::~TimerQueue() {
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->is_stopping = true;
  }
  this->timers_changed.notify_one();
  this->thread.join();
}

void TimerQueue::RunAfter(Duration delay, Function function) {
  this->AddTimer(SteadyClock()() + delay, std::move(function));
}

void TimerQueue::RunEvery(Duration period, Function function) {
  this->RunAfter(period, [this, period, function = std::move(function)] {
    function();
    this->RunEvery(period, function);
  });
}

void TimerQueue::AddTimer(TimePoint due_at, Function function) {
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->timers.emplace(std::make_pair(due_at, this->next_timer_number++), std::move(function));
  }
  this->timers_changed.notify_one();
}

void TimerQueue::RunTimers() {
  std::unique_lock<std::mutex> lock(this->mutex);
  while (!this->is_stopping) {
    if (this->timers.empty()) {
      this->timers_changed.wait(lock);
      continue;
    }
    auto first = this->timers.begin();
    const TimePoint due_at = first->first.first;
    const Duration remaining = due_at - SteadyClock()();
    if (remaining > Duration(0)) {
      this->timers_changed.wait_for(lock, remaining);
      continue;
    }
    Function function = std::move(first->second);
    this->timers.erase(first);
    lock.unlock();
    function();
    lock.lock();
  }
}

}  // namespace sapphirecrank::base
