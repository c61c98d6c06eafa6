#include "membership/view_lease.h"

#include <algorithm>
#include <string>
#include <utility>

#include "base/mutex_lock.h"
#include "membership/owner_selector.h"

namespace sapphirecrank::membership {

using base::Duration;
using base::Epoch;
using base::ErrorCode;
using base::HostId;
using base::TimePoint;

namespace {
// If clocks run up to 10 % too slow or too fast, a lease lasts at most 1.67 s of real time, and the
// delay of a new owner at least 1.81 s.
constexpr Duration kLeaseDuration = std::chrono::milliseconds(1500);
constexpr Duration kOwnershipDelay = std::chrono::seconds(2);
}  // namespace

ViewLease::ViewLease(HostId self, Hooks hooks) : self(std::move(self)), hooks(std::move(hooks)) {}

bool ViewLease::AdoptView(View view) {
  view.adopted_at = this->hooks.now();
  base::MutexLock lock(this->mutex);
  if (!this->recent_views.empty()) {
    const Epoch known_epoch = this->recent_views.back().epoch;
    if (view.epoch <= known_epoch) {
      return false;
    }
    if (view.epoch != known_epoch.Next()) {
      // This host missed a view. Another host may have owned any key in it.
      this->recent_views.clear();
      this->confirmed_at.reset();
    }
  }
  this->DropOldViews(view.adopted_at);
  this->recent_views.push_back(std::move(view));
  return true;
}

void ViewLease::ConfirmEpoch(Epoch epoch, TimePoint requested_at) {
  base::MutexLock lock(this->mutex);
  if (this->recent_views.empty() || this->recent_views.back().epoch != epoch) {
    return;
  }
  this->confirmed_at = std::max(this->confirmed_at.value_or(requested_at), requested_at);
}

base::Result<Epoch> ViewLease::CheckMemberLease() {
  const TimePoint now = this->hooks.now();
  base::MutexLock lock(this->mutex);
  return this->CheckLeaseAt(now);
}

base::Result<Epoch> ViewLease::CheckKeyLease(std::string_view key) {
  const TimePoint now = this->hooks.now();
  base::MutexLock lock(this->mutex);
  base::Result<Epoch> epoch = this->CheckLeaseAt(now);
  if (!epoch) {
    return epoch;
  }
  const std::optional<TimePoint> lease_start = this->FindKeyLeaseStart(key);
  if (!lease_start) {
    return base::MakeErrorResult(ErrorCode::kFenced, "another host of the view owns this key");
  }
  if (now < *lease_start) {
    return base::MakeErrorResult(ErrorCode::kUnavailable,
                                 "the lease of the key's former owner may still be valid");
  }
  return epoch;
}

std::optional<TimePoint> ViewLease::KeyLeaseStart(std::string_view key) {
  base::MutexLock lock(this->mutex);
  return this->FindKeyLeaseStart(key);
}

std::optional<View> ViewLease::CurrentView() {
  base::MutexLock lock(this->mutex);
  return this->recent_views.empty() ? std::nullopt : std::optional<View>(this->recent_views.back());
}

base::Result<Epoch> ViewLease::CheckLeaseAt(TimePoint now) const {
  if (this->recent_views.empty()) {
    return base::MakeErrorResult(ErrorCode::kUnavailable,
                                 "this host has not adopted a view of its data centre yet");
  }
  const View& current_view = this->recent_views.back();
  if (!current_view.Contains(this->self)) {
    return base::MakeErrorResult(ErrorCode::kFenced,
                                 "this host is not in the view of its data centre");
  }
  if (!this->confirmed_at) {
    return base::MakeErrorResult(ErrorCode::kUnavailable,
                                 "the view of the data centre has not been confirmed yet");
  }
  const Duration age = now - *this->confirmed_at;
  if (age >= kLeaseDuration) {
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    return base::MakeErrorResult(ErrorCode::kUnavailable,
                                 "the view of the data centre was last confirmed " +
                                     std::to_string(milliseconds) + " ms ago");
  }
  return current_view.epoch;
}

std::optional<TimePoint> ViewLease::FindKeyLeaseStart(std::string_view key) const {
  std::optional<TimePoint> owned_since;
  for (auto view = this->recent_views.rbegin(); view != this->recent_views.rend(); ++view) {
    if (!OwnerSelector::IsOwner(*view, this->self, key)) {
      break;
    }
    owned_since = view->adopted_at;
  }
  return owned_since ? std::optional<TimePoint>(*owned_since + kOwnershipDelay) : std::nullopt;
}

void ViewLease::DropOldViews(TimePoint now) {
  // A view whose ownership delay has passed makes all views before it irrelevant, so only the
  // newest such view is kept.
  const auto first_waiting =
      std::find_if(this->recent_views.begin(), this->recent_views.end(),
                   [now](const View& view) { return view.adopted_at + kOwnershipDelay > now; });
  if (first_waiting - this->recent_views.begin() > 1) {
    this->recent_views.erase(this->recent_views.begin(), first_waiting - 1);
  }
}

}  // namespace sapphirecrank::membership
