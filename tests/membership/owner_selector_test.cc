#include "membership/owner_selector.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>

#include "membership/view.h"

namespace sapphirecrank::membership {

// clang-format misreads a group that starts with a function.
// clang-format off
TEST_GROUP(OwnerSelector) {
  static View MakeView(int count) {
    View view;
    for (int i = 0; i < count; ++i) {
      view.members.push_back(base::HostId("host-" + std::to_string(i)));
    }
    return view;
  }
};
// clang-format on

// Guards against owners that depend on the order of the members, against a backup on the owner's
// host, and against a change of view that moves keys of remaining hosts, or moves a leaving host's
// keys to another host than their backup.
TEST(OwnerSelector, OnlyKeysOfALeavingHostMoveToTheirBackup) {
  CHECK(rc::check([] {
    const View view = MakeView(*rc::gen::inRange(2, 9));
    const auto key = *rc::gen::arbitrary<std::string>();
    const Owners before = OwnerSelector::SelectOwners(view, key);
    RC_ASSERT(before.owner.has_value());
    RC_ASSERT(before.backup.has_value());
    RC_ASSERT(before.owner != before.backup);
    View smaller_view = view;
    std::reverse(smaller_view.members.begin(), smaller_view.members.end());
    RC_ASSERT(OwnerSelector::SelectOwners(smaller_view, key).owner == before.owner);
    RC_ASSERT(OwnerSelector::SelectOwners(smaller_view, key).backup == before.backup);
    const base::HostId leaving = *rc::gen::elementOf(view.members);
    const auto removed_range =
        std::remove(smaller_view.members.begin(), smaller_view.members.end(), leaving);
    smaller_view.members.erase(removed_range, smaller_view.members.end());
    const auto expected = *before.owner == leaving ? before.backup : before.owner;
    RC_ASSERT(OwnerSelector::SelectOwners(smaller_view, key).owner == expected);
  }));
}

// Guards against an owner in an empty view, a backup in a view of one member, and an uneven
// distribution of keys over the members.
TEST(OwnerSelector, KeysSpreadOverTheMembers) {
  CHECK(!OwnerSelector::SelectOwners(View(), "key").owner);
  CHECK(!OwnerSelector::SelectOwners(MakeView(1), "key").backup);
  const View view = MakeView(4);
  int owned_keys = 0;
  for (int key = 0; key < 4000; ++key) {
    owned_keys += OwnerSelector::IsOwner(view, view.members[0], std::to_string(key)) ? 1 : 0;
  }
  CHECK(owned_keys > 850);
  CHECK(owned_keys < 1150);
}

}  // namespace sapphirecrank::membership
