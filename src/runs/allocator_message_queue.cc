#include "runs/allocator_message_queue.h"

#include <utility>

namespace sapphirecrank::runs {

bool AllocatorMessageQueue::Add(const SchedulerActions& actions) {
  const size_t count_before = this->messages.size();
  if (!actions.run_events.empty()) {
    this->messages.emplace_back(actions.run_events);
  }
  this->messages.insert(this->messages.end(), actions.returned_tasks.begin(),
                        actions.returned_tasks.end());
  this->messages.insert(this->messages.end(), actions.batch_results.begin(),
                        actions.batch_results.end());
  return this->messages.size() > count_before;
}

std::vector<AllocatorMessageQueue::Message> AllocatorMessageQueue::BeginDelivery() {
  return this->is_delivering ? std::vector<Message>() : this->ContinueDelivery();
}

std::vector<AllocatorMessageQueue::Message> AllocatorMessageQueue::ContinueDelivery() {
  this->is_delivering = !this->messages.empty();
  return std::exchange(this->messages, {});
}

}  // namespace sapphirecrank::runs
