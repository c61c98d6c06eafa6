#pragma once

#include <functional>
#include <map>
#include <vector>

#include "base/mutex.h"
#include "base/thread_annotations.h"
#include "base/time.h"
#include "runs/run_event_acknowledgements.h"
#include "runs/run_events.h"

namespace sapphirecrank::clusterhost {

/// Sends an allocator's run events to the leader, which manages the stored jobs, and resends them
/// until they are acknowledged.
///
/// Thread safety: all methods may be called from any thread. The hook `now` runs under a lock,
/// `send` without one.
class RunEventSender {
 public:
  /// Callbacks into the owner; all members must be set.
  struct Hooks {
    base::Clock now;
    /// Sends a message to the leader; it may be lost.
    std::function<void(const runs::RunEvents&)> send;
  };

  explicit RunEventSender(Hooks hooks);

  /// Adds events and sends those that are due.
  void Add(const std::vector<runs::RunEvent>& events);

  /// Drops the events that the leader has acknowledged or reported as superseded.
  void OnAcknowledgements(const runs::RunEventAcknowledgements& acknowledgements);

  /// Sends the events that are due, in one message of at most 500 events. To be called several
  /// times per 100 ms.
  void SendDueEvents();

 private:
  Hooks hooks;
  base::Mutex mutex;
  /// Events without an acknowledgement, and when each is sent next.
  std::map<runs::RunEvent, base::TimePoint> unacknowledged_events GUARDED_BY(mutex);
};

}  // namespace sapphirecrank::clusterhost
