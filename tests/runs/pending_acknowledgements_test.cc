#include "runs/pending_acknowledgements.h"

#include <CppUTest/TestHarness.h>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::SequenceNumber;

TEST_GROUP(UnsettledEnds) {
  runs::PendingAcknowledgements ends;
  base::TimePoint now{std::chrono::seconds(100)};
};

// Guards against ends that are acknowledged before they are durable, also when a later one is.
TEST(UnsettledEnds, AcknowledgesUpToTheFirstUnsettledEnd) {
  CHECK(this->ends.LastAcknowledgeableEnd(SequenceNumber(9)) == SequenceNumber(9));
  this->ends.Add(SequenceNumber(4));
  this->ends.Add(SequenceNumber(7));
  CHECK(this->ends.LastAcknowledgeableEnd(SequenceNumber(3)) == SequenceNumber(3));
  CHECK(this->ends.LastAcknowledgeableEnd(SequenceNumber(9)) == SequenceNumber(3));
  this->ends.MarkDurable(SequenceNumber(7));
  CHECK(this->ends.LastAcknowledgeableEnd(SequenceNumber(9)) == SequenceNumber(3));
  this->ends.MarkDurable(SequenceNumber(4));
  CHECK(this->ends.LastAcknowledgeableEnd(SequenceNumber(9)) == SequenceNumber(9));
}

// Guards against an end that counts after its task was started again.
TEST(UnsettledEnds, OutdatedEndsWaitForTheEndOfTheLease) {
  this->ends.Add(SequenceNumber(4));
  this->ends.ExpireWithLease(SequenceNumber(4), this->now);
  CHECK_TRUE(this->ends.IsAwaitingLeaseExpiry());
  this->ends.RemoveExpired(this->now - std::chrono::milliseconds(1));
  CHECK(this->ends.LastAcknowledgeableEnd(SequenceNumber(4)) == SequenceNumber(3));
  this->ends.RemoveExpired(this->now);
  CHECK_FALSE(this->ends.IsAwaitingLeaseExpiry());
  CHECK(this->ends.LastAcknowledgeableEnd(SequenceNumber(4)) == SequenceNumber(4));
  // An answer that comes twice must not end the lease twice.
  this->ends.ExpireWithLease(SequenceNumber(4), this->now);
  CHECK_FALSE(this->ends.IsAwaitingLeaseExpiry());
}
