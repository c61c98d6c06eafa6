#include "clusterhost/run_event_sender.h"

#include <utility>

#include "base/mutex_lock.h"

namespace sapphirecrank::clusterhost {

using base::MutexLock;

namespace {

// A notice is answered after a synced write of most hosts; disks of 9 ms a write are usual.
constexpr base::Duration kResendDelay = std::chrono::milliseconds(200);
// Keeps a message far below the limit of links.
constexpr size_t kMaximumEventsPerMessage = 500;

}  // namespace

RunEventSender::RunEventSender(Hooks hooks) : hooks(std::move(hooks)) {}

void RunEventSender::Add(const std::vector<runs::RunEvent>& notices) {
  {
    MutexLock lock(this->mutex);
    for (const runs::RunEvent& notice : notices) {
      this->unacknowledged_events.emplace(notice, this->hooks.now());
    }
  }
  this->SendDueEvents();
}

void RunEventSender::OnAcknowledgements(const runs::RunEventAcknowledgements& answers) {
  MutexLock lock(this->mutex);
  for (const runs::RunEvent& notice : answers.acknowledged) {
    this->unacknowledged_events.erase(notice);
  }
  for (const runs::RunEvent& notice : answers.superseded) {
    this->unacknowledged_events.erase(notice);
  }
}

void RunEventSender::SendDueEvents() {
  runs::RunEvents message;
  {
    MutexLock lock(this->mutex);
    const base::TimePoint now = this->hooks.now();
    for (auto& [notice, next_send] : this->unacknowledged_events) {
      if (now >= next_send && message.events.size() < kMaximumEventsPerMessage) {
        next_send = now + kResendDelay;
        message.events.push_back(notice);
      }
    }
  }
  if (!message.events.empty()) {
    this->hooks.send(message);
  }
}

}  // namespace sapphirecrank::clusterhost
