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
// With 10 % of drift each way, a lease lasts at most 1.67 s and a wait at least 1.81 s.
constexpr Duration kLeaseDuration = std::chrono::milliseconds(1500);
constexpr Duration kOwnershipDelay = std::chrono::seconds(2);
}  // namespace

ViewLease::ViewLease(HostId self, Hooks hooks) : self(std::move(self)), hooks(std::move(hooks)) {}

bool ViewLease::AdoptView(View view) {
  view.adopted_at = this->hooks.now();
  base::MutexLock lock(this->mutex);
  if (!this->recent_views.empty()) {
    const Epoch known = this->recent_views.back().epoch;
    if (view.epoch <= known) {
      return false;
    }
    if (view.epoch != known.Next()) {
      // Another host may have owned any key in a view that this host missed.
      this->recent_views.clear();
      this->confirmed_at.reset();
    }
  }
  this->DropOldViews(view.adopted_at);
  this->recent_views.push_back(std::move(view));
  return true;
}

void ViewLease::ConfirmEpoch(Epoch epoch, TimePoint asked_at) {
  base::MutexLock lock(this->mutex);
  if (this->recent_views.empty() || this->recent_views.back().epoch != epoch) {
    return;
  }
  this->confirmed_at = std::max(this->confirmed_at.value_or(asked_at), asked_at);
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
  const std::optional<TimePoint> usable_from = this->FindKeyLeaseStart(key);
  if (!usable_from) {
    return base::MakeErrorResult(ErrorCode::kFenced, "another host owns this key");
  }
  if (now < *usable_from) {
    return base::MakeErrorResult(ErrorCode::kUnavailable,
                                 "the former owner's lease may not have ended");
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
    return base::MakeErrorResult(ErrorCode::kUnavailable, "no view of the data centre is known");
  }
  const View& current = this->recent_views.back();
  if (!current.Contains(this->self)) {
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
  return current.epoch;
}

std::optional<TimePoint> ViewLease::FindKeyLeaseStart(std::string_view key) const {
  std::optional<TimePoint> owner_since;
  for (auto view = this->recent_views.rbegin(); view != this->recent_views.rend(); ++view) {
    if (!OwnerSelector::IsOwner(*view, this->self, key)) {
      break;
    }
    owner_since = view->adopted_at;
  }
  return owner_since ? std::optional<TimePoint>(*owner_since + kOwnershipDelay) : std::nullopt;
}

void ViewLease::DropOldViews(TimePoint now) {
  // The newest view whose wait is over answers for all views before it.
  const auto waiting =
      std::find_if(this->recent_views.begin(), this->recent_views.end(),
                   [now](const View& view) { return view.adopted_at + kOwnershipDelay > now; });
  if (waiting - this->recent_views.begin() > 1) {
    this->recent_views.erase(this->recent_views.begin(), waiting - 1);
  }
}

}  // namespace sapphirecrank::membership
