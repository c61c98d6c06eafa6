#include "jobs/submission_id_time.h"

#include <CppUTest/TestHarness.h>

using sapphirecrank::base::SubmissionId;
using sapphirecrank::jobs::ParseCreationTime;

TEST_GROUP(SubmissionIdTime){};

// Guards against a wrong creation time, and against reading one from an id that contains none.
TEST(SubmissionIdTime, ParsesTimeAfterOptionalDataCentre) {
  LONGS_EQUAL(1234, ParseCreationTime(SubmissionId("east:1234-x:5-6"))->count());
  LONGS_EQUAL(1234, ParseCreationTime(SubmissionId("1234-x"))->count());
  for (const char* id_without_time :
       {"", "east:", "x", "1234", "-5-x", "east:x-1", "99999999999999999999-x"}) {
    CHECK_FALSE(ParseCreationTime(SubmissionId(id_without_time)).has_value());
  }
}
