#include "clusterhost/run_event_sender.h"

#include <utility>

#include "base/mutex_lock.h"

namespace sapphirecrank::clusterhost {

using base::MutexLock;

namespace {

// An event is acknowledged after a synced write on a majority of the hosts; 9 ms per write is
// usual.
constexpr base::Duration kResendDelay = std::chrono::milliseconds(200);
// Keeps a message far below the size limit of peer connections.
constexpr size_t kMaximumEventsPerMessage = 500;

}  // namespace

RunEventSender::RunEventSender(Hooks hooks) : hooks(std::move(hooks)) {}

void RunEventSender::Add(const std::vector<runs::RunEvent>& events) {
  {
    MutexLock lock(this->mutex);
    for (const runs::RunEvent& event : events) {
      this->unacknowledged_events.emplace(event, this->hooks.now());
    }
  }
  this->SendDueEvents();
}

void RunEventSender::OnAcknowledgements(const runs::RunEventAcknowledgements& acknowledgements) {
  MutexLock lock(this->mutex);
  for (const runs::RunEvent& event : acknowledgements.acknowledged) {
    this->unacknowledged_events.erase(event);
  }
  for (const runs::RunEvent& event : acknowledgements.superseded) {
    this->unacknowledged_events.erase(event);
  }
}

void RunEventSender::SendDueEvents() {
  runs::RunEvents message;
  {
    MutexLock lock(this->mutex);
    const base::TimePoint now = this->hooks.now();
    for (auto& [event, next_send_at] : this->unacknowledged_events) {
      if (now >= next_send_at && message.events.size() < kMaximumEventsPerMessage) {
        next_send_at = now + kResendDelay;
        message.events.push_back(event);
      }
    }
  }
  if (!message.events.empty()) {
    this->hooks.send(message);
  }
}

}  // namespace sapphirecrank::clusterhost
