#include "clusterhost/run_event_sender.h"

#include <CppUTest/TestHarness.h>

#include <vector>

#include "base/manual_clock.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

TEST_GROUP(NoticeSender) {
  base::ManualClock clock;
  std::vector<runs::RunEvents> sent;
  clusterhost::RunEventSender sender{
      {this->clock.AsClock(),
       [this](const runs::RunEvents& message) { this->sent.push_back(message); }}};

  static runs::RunEvent Notice(uint32_t run) {
    runs::RunEvent notice;
    notice.key.run = base::RunNumber(run);
    return notice;
  }
};

// Guards against an end that is never acknowledged because its notice was lost with a leader.
TEST(NoticeSender, RepeatsNoticesUntilTheyAreAnswered) {
  this->sender.Add({Notice(1), Notice(2)});
  LONGS_EQUAL(1, this->sent.size());
  LONGS_EQUAL(2, this->sent[0].events.size());
  this->sender.SendDueEvents();
  LONGS_EQUAL(1, this->sent.size());
  this->sender.OnAcknowledgements({{Notice(1)}, {}});
  this->clock.Advance(milliseconds(200));
  this->sender.SendDueEvents();
  LONGS_EQUAL(2, this->sent.size());
  LONGS_EQUAL(1, this->sent[1].events.size());
  this->sender.OnAcknowledgements({{}, {Notice(2)}});
  this->clock.Advance(milliseconds(200));
  this->sender.SendDueEvents();
  LONGS_EQUAL(2, this->sent.size());
}

// Guards against a message beyond the limit of links after an hour without a leader.
TEST(NoticeSender, DividesManyNotices) {
  std::vector<runs::RunEvent> many;
  for (uint32_t i = 0; i < 1200; ++i) {
    many.push_back(Notice(i));
  }
  this->sender.Add(many);
  this->sender.SendDueEvents();
  this->sender.SendDueEvents();
  LONGS_EQUAL(3, this->sent.size());
  LONGS_EQUAL(500, this->sent[0].events.size());
  LONGS_EQUAL(200, this->sent[2].events.size());
}
