#include "runs/unsettled_ends.h"

#include <CppUTest/TestHarness.h>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::Sequence;

TEST_GROUP(UnsettledEnds) {
  runs::PendingAcknowledgements ends;
  base::TimePoint now{std::chrono::seconds(100)};
};

// Guards against ends that are acknowledged before they are durable, also when a later one is.
TEST(UnsettledEnds, AcknowledgesUpToTheFirstUnsettledEnd) {
  CHECK(this->ends.LastAcknowledgeableEnd(Sequence(9)) == Sequence(9));
  this->ends.Add(Sequence(4));
  this->ends.Add(Sequence(7));
  CHECK(this->ends.LastAcknowledgeableEnd(Sequence(3)) == Sequence(3));
  CHECK(this->ends.LastAcknowledgeableEnd(Sequence(9)) == Sequence(3));
  this->ends.MarkDurable(Sequence(7));
  CHECK(this->ends.LastAcknowledgeableEnd(Sequence(9)) == Sequence(3));
  this->ends.MarkDurable(Sequence(4));
  CHECK(this->ends.LastAcknowledgeableEnd(Sequence(9)) == Sequence(9));
}

// Guards against an end that counts after its task was started again.
TEST(UnsettledEnds, OutdatedEndsWaitForTheEndOfTheLease) {
  this->ends.Add(Sequence(4));
  this->ends.ExpireWithLease(Sequence(4), this->now);
  CHECK_TRUE(this->ends.IsAwaitingLeaseExpiry());
  this->ends.RemoveExpired(this->now - std::chrono::milliseconds(1));
  CHECK(this->ends.LastAcknowledgeableEnd(Sequence(4)) == Sequence(3));
  this->ends.RemoveExpired(this->now);
  CHECK_FALSE(this->ends.IsAwaitingLeaseExpiry());
  CHECK(this->ends.LastAcknowledgeableEnd(Sequence(4)) == Sequence(4));
  // An answer that comes twice must not end the lease twice.
  this->ends.ExpireWithLease(Sequence(4), this->now);
  CHECK_FALSE(this->ends.IsAwaitingLeaseExpiry());
}
