#include "runs/pending_acknowledgements.h"

#include <CppUTest/TestHarness.h>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::SequenceNumber;

TEST_GROUP(PendingAcknowledgements) {
  runs::PendingAcknowledgements pending;
  base::TimePoint now{std::chrono::seconds(100)};
};

// Guards against acknowledging an end before it is durable because a later one already is.
TEST(PendingAcknowledgements, AcknowledgesUpToTheFirstPendingEnd) {
  CHECK(this->pending.LastAcknowledgeableEnd(SequenceNumber(9)) == SequenceNumber(9));
  this->pending.Add(SequenceNumber(4));
  this->pending.Add(SequenceNumber(7));
  CHECK(this->pending.LastAcknowledgeableEnd(SequenceNumber(3)) == SequenceNumber(3));
  CHECK(this->pending.LastAcknowledgeableEnd(SequenceNumber(9)) == SequenceNumber(3));
  this->pending.MarkDurable(SequenceNumber(7));
  CHECK(this->pending.LastAcknowledgeableEnd(SequenceNumber(9)) == SequenceNumber(3));
  this->pending.MarkDurable(SequenceNumber(4));
  CHECK(this->pending.LastAcknowledgeableEnd(SequenceNumber(9)) == SequenceNumber(9));
}

// Guards against an end that is acknowledged while the target's lease still lasts, although its
// task was placed again: it would count in addition to the end of the new run.
TEST(PendingAcknowledgements, SupersededEndsWaitForLeaseExpiry) {
  this->pending.Add(SequenceNumber(4));
  this->pending.ExpireWithLease(SequenceNumber(4), this->now);
  CHECK_TRUE(this->pending.IsAwaitingLeaseExpiry());
  this->pending.RemoveExpired(this->now - std::chrono::milliseconds(1));
  CHECK(this->pending.LastAcknowledgeableEnd(SequenceNumber(4)) == SequenceNumber(3));
  this->pending.RemoveExpired(this->now);
  CHECK_FALSE(this->pending.IsAwaitingLeaseExpiry());
  CHECK(this->pending.LastAcknowledgeableEnd(SequenceNumber(4)) == SequenceNumber(4));
  // An acknowledgement that arrives twice must not make the lease expire twice.
  this->pending.ExpireWithLease(SequenceNumber(4), this->now);
  CHECK_FALSE(this->pending.IsAwaitingLeaseExpiry());
}
