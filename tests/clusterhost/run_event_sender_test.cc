#include "clusterhost/run_event_sender.h"

#include <CppUTest/TestHarness.h>

#include <vector>

#include "base/manual_clock.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

TEST_GROUP(RunEventSender) {
  base::ManualClock clock;
  std::vector<runs::RunEvents> sent_messages;
  clusterhost::RunEventSender sender{
      {this->clock.AsClock(),
       [this](const runs::RunEvents& message) { this->sent_messages.push_back(message); }}};

  static runs::RunEvent MakeEvent(uint32_t run) {
    runs::RunEvent event;
    event.key.run = base::RunNumber(run);
    return event;
  }
};

// Guards against the end of a run that is never acknowledged because its event was lost with a
// leader.
TEST(RunEventSender, ResendsEventsUntilTheyAreAcknowledged) {
  this->sender.Add({MakeEvent(1), MakeEvent(2)});
  LONGS_EQUAL(1, this->sent_messages.size());
  LONGS_EQUAL(2, this->sent_messages[0].events.size());
  this->sender.SendDueEvents();
  LONGS_EQUAL(1, this->sent_messages.size());
  this->sender.OnAcknowledgements({{MakeEvent(1)}, {}});
  this->clock.Advance(milliseconds(200));
  this->sender.SendDueEvents();
  LONGS_EQUAL(2, this->sent_messages.size());
  LONGS_EQUAL(1, this->sent_messages[1].events.size());
  this->sender.OnAcknowledgements({{}, {MakeEvent(2)}});
  this->clock.Advance(milliseconds(200));
  this->sender.SendDueEvents();
  LONGS_EQUAL(2, this->sent_messages.size());
}

// Guards against a message above the size limit of peer connections after an hour without a leader.
TEST(RunEventSender, SplitsManyEventsIntoSeveralMessages) {
  std::vector<runs::RunEvent> events;
  for (uint32_t i = 0; i < 1200; ++i) {
    events.push_back(MakeEvent(i));
  }
  this->sender.Add(events);
  this->sender.SendDueEvents();
  this->sender.SendDueEvents();
  LONGS_EQUAL(3, this->sent_messages.size());
  LONGS_EQUAL(500, this->sent_messages[0].events.size());
  LONGS_EQUAL(200, this->sent_messages[2].events.size());
}
