#include "gateway/configuration_fetcher.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "base/mutex_lock.h"

namespace sapphirecrank::gateway {

using base::Duration;
using base::HostId;
using base::TimePoint;

namespace {

// Operators expect a version to be in force within seconds. In a storm of versions a gateway gets
// the newest one five times a second and skips those in between.
constexpr Duration kMinimumRequestInterval = std::chrono::milliseconds(200);
// The response of several ten kilobytes takes some 100 ms on a link of 2 Mbit/s.
constexpr Duration kResponseTimeout = std::chrono::milliseconds(400);

}  // namespace

ConfigurationFetcher::ConfigurationFetcher(Hooks hooks) : hooks(std::move(hooks)) {}

void ConfigurationFetcher::OnAnnouncement(const HostId& allocator, base::Version version,
                                          bool is_in_own_data_centre) {
  base::MutexLock lock(this->mutex);
  this->announcements[allocator] = {version, is_in_own_data_centre};
}

void ConfigurationFetcher::OnResponse(const HostId& allocator, base::Version version) {
  base::MutexLock lock(this->mutex);
  if (this->pending_request && this->pending_request->allocator == allocator) {
    this->pending_request.reset();
  }
  this->announcements[allocator].version = version;
  this->received_version = std::max(this->received_version, version);
}

void ConfigurationFetcher::OnAllocatorLost(const HostId& allocator) {
  base::MutexLock lock(this->mutex);
  this->announcements.erase(allocator);
  if (this->pending_request && this->pending_request->allocator == allocator) {
    this->pending_request.reset();
  }
}

std::optional<HostId> ConfigurationFetcher::BeginRequest() {
  const TimePoint now = this->hooks.now();
  base::MutexLock lock(this->mutex);
  HostId overdue_allocator;
  if (this->pending_request) {
    if (now - this->pending_request->sent_at < kResponseTimeout) {
      return std::nullopt;
    }
    overdue_allocator = this->pending_request->allocator;
  }
  if (now < this->next_request_at) {
    return std::nullopt;
  }
  std::optional<HostId> best;
  std::tuple<bool, bool, base::Version> best_rank;
  for (const auto& [allocator, announcement] : this->announcements) {
    if (announcement.version <= this->received_version) {
      continue;
    }
    const auto rank = std::make_tuple(allocator != overdue_allocator,
                                      announcement.is_in_own_data_centre, announcement.version);
    if (!best || rank > best_rank) {
      best = allocator;
      best_rank = rank;
    }
  }
  if (best) {
    this->pending_request = {*best, now};
    this->next_request_at = now + kMinimumRequestInterval;
  }
  return best;
}

void ConfigurationFetcher::Tick() {
  const auto allocator = this->BeginRequest();
  if (allocator && !this->hooks.request_configuration(*allocator)) {
    this->OnAllocatorLost(*allocator);
  }
}

}  // namespace sapphirecrank::gateway
