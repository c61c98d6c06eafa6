#include "targets/target_registry.h"

#include <CppUTest/TestHarness.h>

#include <vector>

#include "base/manual_clock.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::AttemptId;
using base::SlotCount;
using base::TargetId;
using std::chrono::milliseconds;
using targets::TargetAnnouncement;
using targets::TargetRegistry;

namespace {

TargetAnnouncement MakeAnnouncement(const std::vector<std::string>& running_attempts) {
  TargetAnnouncement announcement;
  announcement.id = TargetId("w");
  announcement.slots = SlotCount(8);
  announcement.connections = base::ConnectionCount(64);
  for (const std::string& attempt : running_attempts) {
    announcement.running_attempts.emplace_back(attempt);
  }
  return announcement;
}

}  // namespace

TEST_GROUP(TargetRegistry) {
  base::ManualClock clock;
  std::vector<scheduling::TargetState> updates;
  int removals = 0;
  TargetRegistry registry{"a/1/",
                          {this->clock.AsClock(), [this](const auto&) { return this->clock.Now(); },
                           [this](const auto& state) { this->updates.push_back(state); },
                           [this](const auto&) { ++this->removals; }}};
};

// Guards against a slot that is used twice after an ownership change, because attempts of the
// previous owner, or of this host before its restart, are not counted.
TEST(TargetRegistry, AttemptsOfOtherHostsOccupySlots) {
  this->registry.OnAnnouncement(MakeAnnouncement({"a/1/5", "b/9/1", "a/0/7"}));
  CHECK(this->updates.back().externally_used_slots == SlotCount(2));
}

// Guards against an overcommitted target, on which an attempt that timed out is still running.
TEST(TargetRegistry, UncertainAttemptKeepsItsSlotUntilNoLongerListed) {
  this->registry.OnAnnouncement(MakeAnnouncement({"a/1/5"}));
  this->registry.OnUncertainAttempt(TargetId("w"), AttemptId("a/1/5"));
  CHECK(this->updates.back().externally_used_slots == SlotCount(1));
  this->clock.Advance(milliseconds(500));
  // This announcement may have been sent before the attempt began.
  this->registry.OnAnnouncement(MakeAnnouncement({}));
  CHECK(this->updates.back().externally_used_slots == SlotCount(1));
  this->clock.Advance(milliseconds(1000));
  this->registry.OnAnnouncement(MakeAnnouncement({"a/1/5"}));
  CHECK(this->updates.back().externally_used_slots == SlotCount(1));
  this->clock.Advance(milliseconds(500));
  this->registry.OnAnnouncement(MakeAnnouncement({}));
  CHECK(this->updates.back().externally_used_slots == SlotCount(0));
}

// Guards against a target that failed and is never removed.
TEST(TargetRegistry, SilentTargetIsRemoved) {
  this->registry.OnAnnouncement(MakeAnnouncement({}));
  this->clock.Advance(std::chrono::seconds(9));
  this->registry.RemoveStaleTargets();
  LONGS_EQUAL(0, this->removals);
  this->clock.Advance(std::chrono::seconds(1));
  this->registry.RemoveStaleTargets();
  LONGS_EQUAL(1, this->removals);
}
