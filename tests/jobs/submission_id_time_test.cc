#include "jobs/submission_id_time.h"

#include <CppUTest/TestHarness.h>

using sapphirecrank::base::SubmissionId;
using sapphirecrank::jobs::ParseCreationTime;

TEST_GROUP(SubmissionIdTime){};

// Guards against an id that counts as undated or gets a wrong age.
TEST(SubmissionIdTime, ReadsTimeAfterDataCentre) {
  LONGS_EQUAL(1234, ParseCreationTime(SubmissionId("east:1234-x:5-6"))->count());
  LONGS_EQUAL(1234, ParseCreationTime(SubmissionId("1234-x"))->count());
  for (const char* undated :
       {"", "east:", "x", "1234", "-5-x", "east:x-1", "99999999999999999999-x"}) {
    CHECK_FALSE(ParseCreationTime(SubmissionId(undated)).has_value());
  }
}
