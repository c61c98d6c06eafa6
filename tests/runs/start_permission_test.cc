#include "runs/start_permission.h"

#include <CppUTest/TestHarness.h>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)

TEST_GROUP(StartPermission) {
  base::TimePoint now{std::chrono::seconds(100)};
  runs::StartPermission permission;
};

// Guards against a host without limits that starts nothing, and against a limit that is off by one.
TEST(StartPermission, IsUnlimitedUntilALimitIsSet) {
  CHECK_TRUE(this->permission.AllowsStartsAt(this->now + std::chrono::hours(1000)));
  CHECK_FALSE(this->permission.IsRestrictedAt(this->now));
  this->permission.AllowUntil(this->now);
  CHECK_TRUE(this->permission.AllowsStartsAt(this->now));
  CHECK_FALSE(this->permission.AllowsStartsAt(this->now + base::Duration(1)));
  CHECK_TRUE(this->permission.IsRestrictedAt(this->now + base::Duration(1)));
}

// Guards against evacuations that add up: a later set replaces the earlier one.
TEST(StartPermission, ReplacesTheEvacuatedDataCentres) {
  this->permission.SetEvacuatedDataCentres({base::DataCentreId("a")});
  CHECK_TRUE(this->permission.IsEvacuated(base::DataCentreId("a")));
  CHECK_TRUE(this->permission.IsRestrictedAt(this->now));
  CHECK_TRUE(this->permission.AllowsStartsAt(this->now));
  this->permission.SetEvacuatedDataCentres({base::DataCentreId("b")});
  CHECK_FALSE(this->permission.IsEvacuated(base::DataCentreId("a")));
  CHECK_TRUE(this->permission.IsEvacuated(base::DataCentreId("b")));
}
