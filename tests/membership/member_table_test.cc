#include "membership/member_table.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/manual_clock.h"

namespace sapphirecrank::membership {

using base::HostId;
using base::Incarnation;
using base::SequenceNumber;
using std::chrono::milliseconds;

TEST_GROUP(MemberTable) {
  const HostId host{"host-1"};
  base::ManualClock clock;
  std::mutex mutex;
  std::vector<SequenceNumber> sent_heartbeats;
  std::vector<MemberState> changes;
  MemberTable table{{clock.AsClock(),
                     [this](const HostId&, SequenceNumber sequence_number) {
                       std::lock_guard<std::mutex> lock(mutex);
                       sent_heartbeats.push_back(sequence_number);
                     },
                     [this](const HostId&, const MemberState& state) {
                       std::lock_guard<std::mutex> lock(mutex);
                       changes.push_back(state);
                     }}};

  void setup() override { table.Add(host); }

  // Advances time in ticks of 50 ms. If `responds`, the host responds to each heartbeat at once.
  void PassTicks(int ticks, bool responds, Incarnation incarnation = Incarnation(7)) {
    for (int i = 0; i < ticks; ++i) {
      const size_t sent_count_before = sent_heartbeats.size();
      clock.Advance(milliseconds(50));
      table.Tick();
      if (responds && sent_heartbeats.size() > sent_count_before) {
        table.OnHeartbeatResponse(host, sent_heartbeats.back(), incarnation);
      }
    }
  }
};

// Guards against too few or too many heartbeats, late suspicion of a host that has crashed, and
// early suspicion of a slow one.
TEST(MemberTable, SilentHostIsSuspectedAfterASecond) {
  PassTicks(40, true);
  LONGS_EQUAL(10, sent_heartbeats.size());
  CHECK(table.FindState(host).liveness == Liveness::kAlive);
  LONGS_EQUAL(1, table.AliveHosts().size());
  PassTicks(15, false);
  CHECK(table.FindState(host).liveness == Liveness::kAlive);
  PassTicks(5, false);
  CHECK(table.FindState(host).liveness == Liveness::kSuspected);
  LONGS_EQUAL(0, table.AliveHosts().size());
  PassTicks(5, true);
  CHECK(table.FindState(host).liveness == Liveness::kAlive);
  LONGS_EQUAL(3, changes.size());
}

// Guards against a host that never responds and is never suspected.
TEST(MemberTable, HostThatNeverAnswersIsSuspected) {
  PassTicks(19, false);
  CHECK(table.FindState(host).liveness == Liveness::kUnknown);
  PassTicks(1, false);
  CHECK(table.FindState(host).liveness == Liveness::kSuspected);
}

// Guards against a restart that isn't reported because it takes less than a second, and against a
// late response of the former process that replaces the new incarnation.
TEST(MemberTable, RestartIsReportedOnce) {
  PassTicks(8, true, Incarnation(1));
  const SequenceNumber unanswered_sequence_number = sent_heartbeats.back().Next();
  PassTicks(4, false);
  PassTicks(4, true, Incarnation(2));
  table.OnHeartbeatResponse(host, unanswered_sequence_number, Incarnation(1));
  LONGS_EQUAL(2, changes.size());
  LONGS_EQUAL(2, table.FindState(host).incarnation.value());
}

// Guards against suspicion of all hosts after a pause of this process, and against counting a host
// as alive because of a response to a heartbeat from before the pause or to one that was never
// sent.
TEST(MemberTable, OwnPauseDoesNotMakeOtherHostsSuspected) {
  PassTicks(20, true);
  clock.Advance(milliseconds(5000));
  table.Tick();
  CHECK(table.FindState(host).liveness == Liveness::kAlive);
  const SequenceNumber before_pause = sent_heartbeats.back();
  table.OnHeartbeatResponse(host, before_pause.Next(), Incarnation(7));
  clock.Advance(milliseconds(1500));
  PassTicks(8, false);
  CHECK(table.FindState(host).liveness == Liveness::kSuspected);
  table.OnHeartbeatResponse(host, before_pause, Incarnation(7));
  CHECK(table.FindState(host).liveness == Liveness::kSuspected);
}

// Guards against a host that counts as alive although no response of the last second has arrived,
// for any pattern of lost responses.
TEST(MemberTable, AliveHostHasRespondedRecently) {
  CHECK(rc::check([] {
    base::ManualClock other_clock;
    SequenceNumber newest_sequence_number;
    MemberTable other_table(
        {other_clock.AsClock(),
         [&newest_sequence_number](const HostId&, SequenceNumber sequence_number) {
           newest_sequence_number = sequence_number;
         },
         [](const HostId&, const MemberState&) {}});
    const HostId other("host-2");
    other_table.Add(other);
    int silent_ticks = 0;
    SequenceNumber answered_sequence_number;
    const int steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) {
      other_clock.Advance(milliseconds(50));
      other_table.Tick();
      ++silent_ticks;
      if (newest_sequence_number != answered_sequence_number && *rc::gen::inRange(0, 20) == 0) {
        other_table.OnHeartbeatResponse(other, newest_sequence_number, Incarnation(1));
        answered_sequence_number = newest_sequence_number;
        silent_ticks = 0;
      }
      const bool alive = other_table.FindState(other).liveness == Liveness::kAlive;
      RC_ASSERT((!alive || silent_ticks <= 20));
      RC_ASSERT((alive || answered_sequence_number == SequenceNumber(0) || silent_ticks >= 16));
    }
  }));
}

// Guards against data races; the thread sanitizer reports them.
TEST(MemberTable, ConcurrentTicksAndResponses) {
  std::thread ticking([this] { PassTicks(200, false); });
  for (uint64_t i = 0; i < 2000; ++i) {
    table.OnHeartbeatResponse(host, SequenceNumber(i % 50), Incarnation(i % 3));
    table.FindState(host);
  }
  ticking.join();
  PassTicks(25, false);
  CHECK(table.FindState(host).liveness == Liveness::kSuspected);
}

}  // namespace sapphirecrank::membership
