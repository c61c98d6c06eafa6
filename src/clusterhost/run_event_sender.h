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

/// Repeats an allocator's notices to the keeper of the stored jobs until they are answered.
///
/// Thread safety: all methods may be called from any thread. Hooks run without a lock.
class RunEventSender {
 public:
  /// Behaviour handed in; all members must be set.
  struct Hooks {
    base::Clock now;
    /// Sends to the host that leads; the message may be lost.
    std::function<void(const runs::RunEvents&)> send;
  };

  explicit RunEventSender(Hooks hooks);

  /// Takes notices to send, and sends them.
  void Add(const std::vector<runs::RunEvent>& notices);

  void OnAcknowledgements(const runs::RunEventAcknowledgements& answers);

  /// Sends what is due. To be called several times in 100 ms.
  void SendDueEvents();

 private:
  Hooks hooks;
  base::Mutex mutex;
  /// Notices without an answer, and when they are sent next.
  std::map<runs::RunEvent, base::TimePoint> unacknowledged_events GUARDED_BY(mutex);
};

}  // namespace sapphirecrank::clusterhost
