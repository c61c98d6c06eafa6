#include "membership/owner_selector.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>

#include "membership/view.h"

namespace sapphirecrank::membership {

TEST_GROUP(OwnerSelector){static View Members(int count){View view;
for (int i = 0; i < count; ++i) {
  view.members.push_back(base::HostId("host-" + std::to_string(i)));
}
return view;
}  // namespace sapphirecrank::membership
}
;

// Guards against hosts that disagree on the owner, a backup on the owner's own host, and a change
// of view that moves keys of hosts that stay or moves them elsewhere than to the backup.
TEST(OwnerSelector, OnlyKeysOfALeavingHostMoveToTheirBackup) {
  CHECK(rc::check([] {
    const View view = Members(*rc::gen::inRange(2, 9));
    const auto key = *rc::gen::arbitrary<std::string>();
    const Owners before = OwnerSelector::SelectOwners(view, key);
    RC_ASSERT(before.owner.has_value());
    RC_ASSERT(before.backup.has_value());
    RC_ASSERT(before.owner != before.backup);
    View smaller = view;
    std::reverse(smaller.members.begin(), smaller.members.end());
    RC_ASSERT(OwnerSelector::SelectOwners(smaller, key).owner == before.owner);
    RC_ASSERT(OwnerSelector::SelectOwners(smaller, key).backup == before.backup);
    const base::HostId leaving = *rc::gen::elementOf(view.members);
    const auto kept = std::remove(smaller.members.begin(), smaller.members.end(), leaving);
    smaller.members.erase(kept, smaller.members.end());
    const auto expected = *before.owner == leaving ? before.backup : before.owner;
    RC_ASSERT(OwnerSelector::SelectOwners(smaller, key).owner == expected);
  }));
}

// Guards against an owner out of nothing, and against one host that owns most keys.
TEST(OwnerSelector, KeysSpreadOverTheMembers) {
  CHECK(!OwnerSelector::SelectOwners(View(), "key").owner);
  CHECK(!OwnerSelector::SelectOwners(Members(1), "key").backup);
  const View view = Members(4);
  int owned = 0;
  for (int key = 0; key < 4000; ++key) {
    owned += OwnerSelector::IsOwner(view, view.members[0], std::to_string(key)) ? 1 : 0;
  }
  CHECK(owned > 850);
  CHECK(owned < 1150);
}

}  // namespace sapphirecrank::membership
