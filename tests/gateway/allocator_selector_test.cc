#include "gateway/allocator_selector.h"

#include <CppUTest/TestHarness.h>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::HostId;
using base::ServiceId;
using base::TaskCount;

namespace {

runs::CapacityReport Room(const char* data_centre, int64_t free, int64_t waiting) {
  runs::CapacityReport report;
  report.data_centre = base::DataCentreId(data_centre);
  report.service_capacities = {
      {ServiceId("s"), TaskCount(free), TaskCount(30), TaskCount(waiting)}};
  return report;
}

}  // namespace

TEST_GROUP(AllocatorRooms) { gateway::AllocatorSelector rooms{base::DataCentreId("near")}; };

// Guards against bytes between data centres while there is room nearby.
TEST(AllocatorRooms, PrefersItsOwnDataCentreWhileThereIsRoom) {
  this->rooms.OnCapacityReport(HostId("far"), Room("far", 20, 0));
  this->rooms.OnCapacityReport(HostId("near"), Room("near", 8, 0));
  CHECK(*this->rooms.ChooseAllocator(ServiceId("s"), TaskCount(8)) == HostId("near"));
  // What was placed is taken off at once, so that two jobs don't get the same room.
  CHECK(*this->rooms.ChooseAllocator(ServiceId("s"), TaskCount(8)) == HostId("far"));
}

// Guards against work for an allocator that leaves, is lost or has no targets of the service.
TEST(AllocatorRooms, LeavesOutAllocatorsThatCannotServe) {
  CHECK_FALSE(this->rooms.HasReports());
  runs::CapacityReport leaving = Room("near", 20, 0);
  leaving.is_leaving = true;
  this->rooms.OnCapacityReport(HostId("a"), leaving);
  CHECK_FALSE(this->rooms.ChooseAllocator(ServiceId("s"), TaskCount(1)).has_value());
  this->rooms.OnCapacityReport(HostId("b"), Room("far", 1, 0));
  CHECK_FALSE(this->rooms.ChooseAllocator(ServiceId("other"), TaskCount(1)).has_value());
  CHECK(this->rooms.ChooseAllocator(ServiceId("s"), TaskCount(1)).has_value());
  this->rooms.OnAllocatorLost(HostId("b"));
  CHECK_FALSE(this->rooms.ChooseAllocator(ServiceId("s"), TaskCount(1)).has_value());
}
