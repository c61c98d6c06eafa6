#pragma once

#include <functional>
#include <map>
#include <optional>

#include "base/ids.h"
#include "base/mutex.h"
#include "base/thread_annotations.h"
#include "base/time.h"

namespace sapphirecrank::gateway {

/// Decides when a gateway requests the configuration, and from which allocator.
///
/// All allocators announce the versions that they have committed. Only one copy of the newest
/// version is requested at a time, and at most one in each `kMinimumRequestInterval`: copies of
/// every version from every allocator fill the link of a small gateway for seconds, so that its
/// heartbeats are late and all allocators count it as lost.
///
/// Thread safety: all methods may be called from any thread; hooks are called without a lock.
class ConfigurationFetcher {
 public:
  /// Callbacks into the owner; all members must be set.
  struct Hooks {
    base::Clock now;
    /// Sends a request to an allocator. Returns false if it is unreachable.
    std::function<bool(const base::HostId& allocator)> request_configuration;
  };

  explicit ConfigurationFetcher(Hooks hooks);

  /// Records the version that `allocator` has announced. Allocators in the gateway's data centre
  /// are preferred.
  void OnAnnouncement(const base::HostId& allocator, base::Version version,
                      bool is_in_own_data_centre);

  /// Records that `allocator` has sent version `version`. A version that is older than announced
  /// replaces the announcement: the allocator may have lost its disk.
  void OnResponse(const base::HostId& allocator, base::Version version);

  /// Forgets the announcement of a lost allocator and any request to it.
  void OnAllocatorLost(const base::HostId& allocator);

  /// Sends the next request if it is due. Must be called several times per 100 ms.
  void Tick();

 private:
  struct Announcement {
    base::Version version;
    bool is_in_own_data_centre = false;
  };
  struct PendingRequest {
    base::HostId allocator;
    base::TimePoint sent_at;
  };

  /// Returns the allocator to send a request to now, or none, and records the request.
  std::optional<base::HostId> BeginRequest();

  Hooks hooks;
  base::Mutex mutex;
  std::map<base::HostId, Announcement> announcements GUARDED_BY(mutex);
  base::Version received_version GUARDED_BY(mutex);
  std::optional<PendingRequest> pending_request GUARDED_BY(mutex);
  base::TimePoint next_request_at GUARDED_BY(mutex);
};

}  // namespace sapphirecrank::gateway
