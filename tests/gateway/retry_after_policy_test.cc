#include "gateway/retry_after_policy.h"

#include <CppUTest/TestHarness.h>

#include <set>
#include <string>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::Priority;
using base::SubmissionId;
using gateway::RetryAfterPolicy;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(RetryAfterPolicy){};

// Pattern: retry storm. Guards against refused callers that all return together, and against
// callers of low priority that return before urgent ones.
TEST(RetryAfterPolicy, LowerPrioritiesReturnLaterAndSpreadOut) {
  std::set<base::Duration> ordinary;
  std::set<base::Duration> bulk;
  for (int i = 0; i < 200; ++i) {
    const SubmissionId job("job" + std::to_string(i));
    CHECK(RetryAfterPolicy::RetryAfter(seconds(0), Priority(0), job) == seconds(1));
    ordinary.insert(RetryAfterPolicy::RetryAfter(seconds(0), Priority(1), job));
    bulk.insert(RetryAfterPolicy::RetryAfter(seconds(0), Priority(2), job));
  }
  CHECK(ordinary.size() > 100);
  CHECK(*ordinary.rbegin() - *ordinary.begin() > milliseconds(900));
  CHECK(*bulk.begin() >= seconds(2));
  CHECK(*bulk.rbegin() - *bulk.begin() > milliseconds(1800));
}

// Guards against callers that return before the backlog is served, or never.
TEST(RetryAfterPolicy, FollowsTheBacklogWithinLimits) {
  const SubmissionId job("job");
  CHECK(RetryAfterPolicy::RetryAfter(seconds(4), Priority(0), job) == seconds(4));
  CHECK(RetryAfterPolicy::RetryAfter(std::chrono::hours(9), Priority(100), job) == seconds(30));
  CHECK(RetryAfterPolicy::RetryAfter(seconds(0), Priority(-3), job) == seconds(1));
}
