#include "clusterhost/target_file.h"

#include <CppUTest/TestHarness.h>

#include "storage/posix_file_system.h"
#include "tests/support/temporary_folder.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)

TEST_GROUP(TargetFile) { testing::TemporaryFolder folder; };

// Guards against a target that is adopted after a restart with an incorrect capacity or identity.
TEST(TargetFile, LoadsSavedTargets) {
  runs::TargetReport report;
  report.id = base::TargetId("i-1");
  report.service = base::ServiceId("s");
  report.address = base::NetworkAddress("10.0.0.1:80");
  report.data_centre = base::DataCentreId("x");
  report.rack = base::RackId("r1");
  report.incarnation = base::Incarnation(17);
  report.sequence_number = base::SequenceNumber(4);
  report.capacity = {base::MilliCores(16000), base::ByteCount(1LL << 40),
                     base::AcceleratorCount(2)};
  clusterhost::TargetFile file(storage::MakePosixFileSystem(), this->folder.Path());
  CHECK_TRUE(file.Load()->empty());
  CHECK_TRUE(file.Save({report}).has_value());
  const auto loaded =
      clusterhost::TargetFile(storage::MakePosixFileSystem(), this->folder.Path()).Load();
  LONGS_EQUAL(1, loaded->size());
  CHECK((*loaded)[0].id == report.id);
  CHECK((*loaded)[0].address == report.address);
  CHECK((*loaded)[0].incarnation == report.incarnation);
  CHECK((*loaded)[0].sequence_number == report.sequence_number);
  CHECK((*loaded)[0].capacity == report.capacity);
}
