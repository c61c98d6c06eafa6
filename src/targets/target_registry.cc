#include "targets/target_registry.h"

#include <algorithm>
#include <utility>

namespace sapphirecrank::targets {

using base::AttemptId;
using base::Duration;
using base::SlotCount;
using base::TargetId;
using base::TimePoint;

namespace {

constexpr size_t kShardCount = 16;
constexpr Duration kLeaseDuration = std::chrono::seconds(2);
constexpr Duration kStaleTargetAge = std::chrono::seconds(10);
// An announcement that is received within this time after the uncertain end of an attempt may have
// been sent before the attempt began, so it doesn't prove that the attempt no longer runs.
constexpr Duration kAnnouncementLag = std::chrono::seconds(1);

}  // namespace

TargetRegistry::TargetRegistry(std::string own_attempt_prefix, Hooks hooks)
    : own_attempt_prefix(std::move(own_attempt_prefix)),
      hooks(std::move(hooks)),
      shards(kShardCount) {}

void TargetRegistry::OnAnnouncement(const TargetAnnouncement& announcement) {
  const TimePoint now = this->hooks.now();
  const scheduling::TargetState state = this->shards.WithShard(announcement.id, [&](Shard& shard) {
    RegisteredTarget& target = shard[announcement.id];
    target.announcement = announcement;
    target.announced_at = now;
    const auto& running_attempts = announcement.running_attempts;
    for (auto it = target.uncertain_attempts.begin(); it != target.uncertain_attempts.end();) {
      const bool is_listed = std::find(running_attempts.begin(), running_attempts.end(),
                                       it->first) != running_attempts.end();
      const bool is_lag_over = it->second + kAnnouncementLag <= now;
      it = !is_listed && is_lag_over ? target.uncertain_attempts.erase(it) : std::next(it);
    }
    return this->StateOf(target);
  });
  this->hooks.update_target(state);
}

std::optional<base::NetworkAddress> TargetRegistry::AddressOf(const TargetId& target) {
  return this->shards.WithShard(target, [&](Shard& shard) -> std::optional<base::NetworkAddress> {
    auto found = shard.find(target);
    if (found == shard.end()) {
      return std::nullopt;
    }
    return found->second.announcement.address;
  });
}

void TargetRegistry::OnUncertainAttempt(const TargetId& target, const AttemptId& attempt) {
  const TimePoint now = this->hooks.now();
  const auto state =
      this->shards.WithShard(target, [&](Shard& shard) -> std::optional<scheduling::TargetState> {
        auto found = shard.find(target);
        if (found == shard.end()) {
          return std::nullopt;
        }
        found->second.uncertain_attempts[attempt] = now;
        return this->StateOf(found->second);
      });
  if (state) {
    this->hooks.update_target(*state);
  }
}

void TargetRegistry::RemoveStaleTargets() {
  const TimePoint now = this->hooks.now();
  this->RemoveTargetsIf([now](const TargetId&, const RegisteredTarget& target) {
    return target.announced_at + kStaleTargetAge <= now;
  });
}

void TargetRegistry::RetainOwnedTargets(const std::function<bool(const TargetId&)>& is_owned) {
  this->RemoveTargetsIf([&](const TargetId& id, const RegisteredTarget&) { return !is_owned(id); });
}

std::vector<TargetAnnouncement> TargetRegistry::Announcements() {
  std::vector<TargetAnnouncement> announcements;
  this->shards.ForEachShard([&](Shard& shard) {
    for (const auto& [id, target] : shard) {
      announcements.push_back(target.announcement);
    }
  });
  return announcements;
}

bool TargetRegistry::IsOwnAttempt(const AttemptId& attempt) const {
  return attempt.value().compare(0, this->own_attempt_prefix.size(), this->own_attempt_prefix) == 0;
}

scheduling::TargetState TargetRegistry::StateOf(const RegisteredTarget& target) const {
  const TargetAnnouncement& announcement = target.announcement;
  const auto foreign_attempt_count =
      std::count_if(announcement.running_attempts.begin(), announcement.running_attempts.end(),
                    [this](const AttemptId& attempt) { return !this->IsOwnAttempt(attempt); });
  scheduling::TargetState state;
  state.id = announcement.id;
  state.kind = announcement.kind;
  state.rack = announcement.rack;
  state.slots = SlotCount(std::min(announcement.slots.value(), announcement.connections.value()));
  state.capacity = announcement.capacity;
  state.externally_used_slots =
      SlotCount(static_cast<int32_t>(foreign_attempt_count + target.uncertain_attempts.size()));
  state.leaving = announcement.leaving;
  state.usable_from = this->hooks.usable_from(announcement.id);
  state.lease_end = target.announced_at + kLeaseDuration;
  return state;
}

void TargetRegistry::RemoveTargetsIf(
    const std::function<bool(const TargetId&, const RegisteredTarget&)>& condition) {
  std::vector<TargetId> removed_targets;
  this->shards.ForEachShard([&](Shard& shard) {
    for (auto it = shard.begin(); it != shard.end();) {
      if (condition(it->first, it->second)) {
        removed_targets.push_back(it->first);
        it = shard.erase(it);
      } else {
        ++it;
      }
    }
  });
  for (const TargetId& id : removed_targets) {
    this->hooks.remove_target(id);
  }
}

}  // namespace sapphirecrank::targets
