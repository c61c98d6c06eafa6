#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/mutex.h"
#include "base/result.h"
#include "base/time.h"
#include "membership/view.h"

namespace sapphirecrank::membership {

/// This host's lease to act as a member of its data centre's view.
///
/// The lease for a key is valid under three conditions: this host owns the key in the newest view
/// that it has adopted; less than 1.5 s ago, this host sent a request to which the group responded
/// that this host's newest view is current; and 2 s have passed since this host adopted the view
/// that made it the owner. So the lease of a former owner ends before that of the new owner starts,
/// even if each clock runs up to 10 % too slow or too fast. The lease is checked for the moment of
/// the call only: in the worst case of clock drift, a thread may pause for 0.14 s between the check
/// and the action before two hosts can act at the same time.
///
/// Thread safety: all methods may be called from any thread.
class ViewLease {
 public:
  /// Functions that this class calls. All members must be set.
  struct Hooks {
    /// Returns the current time.
    base::Clock now;
  };

  /// Creates a lease of the host `self`, which is not valid before the first confirmed view.
  ViewLease(base::HostId self, Hooks hooks);

  /// Adopts a view and sets its `adopted_at` to the current time. Ignores a view that isn't newer
  /// than the current one. Returns whether the view was adopted.
  bool AdoptView(View view) EXCLUDES(mutex);

  /// Records that the group confirmed `epoch` as current, in response to a request that this host
  /// sent at `requested_at`. Renews the lease only if `epoch` is that of the newest adopted view.
  void ConfirmEpoch(base::Epoch epoch, base::TimePoint requested_at) EXCLUDES(mutex);

  /// Returns the epoch under which this host may act as a member, without regard to keys. Errors,
  /// with the verdict "not run": `kUnavailable` if no view is confirmed recently enough, `kFenced`
  /// if this host is not in the view.
  base::Result<base::Epoch> CheckMemberLease() EXCLUDES(mutex);

  /// Returns the epoch under which this host may act on `key` now. Errors, with the verdict
  /// "not run": those of `CheckMemberLease`; `kFenced` if another host owns the key; `kUnavailable`
  /// if a former owner's lease may still be valid.
  base::Result<base::Epoch> CheckKeyLease(std::string_view key) EXCLUDES(mutex);

  /// Returns the time from which this host may act on `key`, provided that its view is confirmed;
  /// none if this host doesn't own the key.
  std::optional<base::TimePoint> KeyLeaseStart(std::string_view key) EXCLUDES(mutex);

  /// Returns the newest adopted view; none if there is none yet.
  std::optional<View> CurrentView() EXCLUDES(mutex);

 private:
  base::Result<base::Epoch> CheckLeaseAt(base::TimePoint now) const REQUIRES(mutex);
  std::optional<base::TimePoint> FindKeyLeaseStart(std::string_view key) const REQUIRES(mutex);
  void DropOldViews(base::TimePoint now) REQUIRES(mutex);

  base::HostId self;
  Hooks hooks;
  base::Mutex mutex;
  // Oldest first, without gaps in epochs. Only views that still matter for an ownership delay.
  std::vector<View> recent_views GUARDED_BY(mutex);
  // Time of the latest confirmed request. It stays when the next view is adopted, and is reset if a
  // view was missed.
  std::optional<base::TimePoint> confirmed_at GUARDED_BY(mutex);
};

}  // namespace sapphirecrank::membership
