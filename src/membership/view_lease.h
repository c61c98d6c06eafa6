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

/// This host's right to act under its data centre's view.
///
/// The right to act on a key holds while three conditions do: the host owns the key in the newest
/// view that it knows; the group confirmed at most 1.5 s ago, counted from when this host asked,
/// that this view is current; and 2 s have passed since the host learned that it owns the key. The
/// right of a former owner then ends before that of the new one begins, although clocks may drift
/// apart by 10 %. The right is that of the moment of the question: a thread that pauses between the
/// question and the act has 0.14 s until the margin is used up in the worst case of drift. Thread
/// safety: all methods may be called from any thread.
class ViewLease {
 public:
  /// Behaviour handed in; all members must be set.
  struct Hooks {
    /// Current time.
    base::Clock now;
  };

  /// Creates a host that knows no view and may not act.
  ViewLease(base::HostId self, Hooks hooks);

  /// Takes in a view and tells whether it is newer than the known one; an older one is ignored.
  /// `adopted_at` is set to the current time.
  bool AdoptView(View view) EXCLUDES(mutex);

  /// Takes in the group's answer to a question that this host asked at `asked_at`: `epoch` was
  /// current while the group answered. An epoch other than the known one renews nothing.
  void ConfirmEpoch(base::Epoch epoch, base::TimePoint asked_at) EXCLUDES(mutex);

  /// Returns the epoch under which this host may act as a member, without regard to keys, or
  /// `kUnavailable` or `kFenced` with "not run".
  base::Result<base::Epoch> CheckMemberLease() EXCLUDES(mutex);

  /// Returns the epoch under which this host may act on `key` now, or `kUnavailable` or `kFenced`
  /// with "not run".
  base::Result<base::Epoch> CheckKeyLease(std::string_view key) EXCLUDES(mutex);

  /// Returns from when on this host may act on `key` while its view is confirmed; none if another
  /// host owns the key.
  std::optional<base::TimePoint> KeyLeaseStart(std::string_view key) EXCLUDES(mutex);

  /// Returns the newest known view; none before the first.
  std::optional<View> CurrentView() EXCLUDES(mutex);

 private:
  base::Result<base::Epoch> CheckLeaseAt(base::TimePoint now) const REQUIRES(mutex);
  std::optional<base::TimePoint> FindKeyLeaseStart(std::string_view key) const REQUIRES(mutex);
  void DropOldViews(base::TimePoint now) REQUIRES(mutex);

  base::HostId self;
  Hooks hooks;
  base::Mutex mutex;
  // Oldest first, without a gap in epochs; those that still matter for the wait of an owner.
  std::vector<View> recent_views GUARDED_BY(mutex);
  std::optional<base::TimePoint> confirmed_at GUARDED_BY(mutex);
};

}  // namespace sapphirecrank::membership
