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
  std::vector<SequenceNumber> sent;
  std::vector<MemberState> changes;
  MemberTable table{{clock.AsClock(),
                     [this](const HostId&, SequenceNumber sequence) {
                       std::lock_guard<std::mutex> lock(mutex);
                       sent.push_back(sequence);
                     },
                     [this](const HostId&, const MemberState& state) {
                       std::lock_guard<std::mutex> lock(mutex);
                       changes.push_back(state);
                     }}};

  void setup() override { table.Add(host); }

  // Lets time pass in ticks of 50 ms; the host answers each heartbeat at once if it `answers`.
  void Pass(int ticks, bool answers, Incarnation incarnation = Incarnation(7)) {
    for (int i = 0; i < ticks; ++i) {
      const size_t sent_before = sent.size();
      clock.Advance(milliseconds(50));
      table.Tick();
      if (answers && sent.size() > sent_before) {
        table.OnHeartbeatResponse(host, sent.back(), incarnation);
      }
    }
  }
};

// Guards against too few or too many heartbeats, a dead host that is noticed late, and a slow one
// that is suspected early.
TEST(MemberTable, SilentHostIsSuspectedAfterASecond) {
  Pass(40, true);
  LONGS_EQUAL(10, sent.size());
  CHECK(table.FindState(host).liveness == Liveness::kAlive);
  LONGS_EQUAL(1, table.AliveHosts().size());
  Pass(15, false);
  CHECK(table.FindState(host).liveness == Liveness::kAlive);
  Pass(5, false);
  CHECK(table.FindState(host).liveness == Liveness::kSuspected);
  LONGS_EQUAL(0, table.AliveHosts().size());
  Pass(5, true);
  CHECK(table.FindState(host).liveness == Liveness::kAlive);
  LONGS_EQUAL(3, changes.size());
}

// Guards against a host that never answers and is never suspected.
TEST(MemberTable, HostThatNeverAnswersIsSuspected) {
  Pass(19, false);
  CHECK(table.FindState(host).liveness == Liveness::kUnknown);
  Pass(1, false);
  CHECK(table.FindState(host).liveness == Liveness::kSuspected);
}

// Guards against a restart that stays unnoticed because it took less than a second, and a late
// answer of the former process that hides it.
TEST(MemberTable, RestartIsReportedOnce) {
  Pass(8, true, Incarnation(1));
  const SequenceNumber old_sequence = sent.back().Next();
  Pass(4, false);
  Pass(4, true, Incarnation(2));
  table.OnHeartbeatResponse(host, old_sequence, Incarnation(1));
  LONGS_EQUAL(2, changes.size());
  LONGS_EQUAL(2, table.FindState(host).incarnation.value());
}

// Guards against all hosts being suspected after this process itself paused, and against an answer
// from before the pause, or one that was never asked for, that passes for a sign of life.
TEST(MemberTable, OwnPauseIsNotTheirSilence) {
  Pass(20, true);
  clock.Advance(milliseconds(5000));
  table.Tick();
  CHECK(table.FindState(host).liveness == Liveness::kAlive);
  const SequenceNumber before_pause = sent.back();
  table.OnHeartbeatResponse(host, before_pause.Next(), Incarnation(7));
  clock.Advance(milliseconds(1500));
  Pass(8, false);
  CHECK(table.FindState(host).liveness == Liveness::kSuspected);
  table.OnHeartbeatResponse(host, before_pause, Incarnation(7));
  CHECK(table.FindState(host).liveness == Liveness::kSuspected);
}

// Guards against a host that is taken for alive although none of its answers of the last second has
// arrived, in any pattern of lost answers.
TEST(MemberTable, AliveMeansAnsweredLately) {
  CHECK(rc::check([] {
    base::ManualClock time;
    SequenceNumber newest;
    MemberTable tried({time.AsClock(),
                       [&newest](const HostId&, SequenceNumber sequence) { newest = sequence; },
                       [](const HostId&, const MemberState&) {}});
    const HostId other("host-2");
    tried.Add(other);
    int silent_ticks = 0;
    SequenceNumber answered;
    const int steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) {
      time.Advance(milliseconds(50));
      tried.Tick();
      ++silent_ticks;
      if (newest != answered && *rc::gen::inRange(0, 20) == 0) {
        tried.OnHeartbeatResponse(other, newest, Incarnation(1));
        answered = newest;
        silent_ticks = 0;
      }
      const bool alive = tried.FindState(other).liveness == Liveness::kAlive;
      RC_ASSERT((!alive || silent_ticks <= 20));
      RC_ASSERT((alive || answered == SequenceNumber(0) || silent_ticks >= 16));
    }
  }));
}

// Guards against data races (thread sanitizer).
TEST(MemberTable, ConcurrentTicksAndAnswers) {
  std::thread ticking([this] { Pass(200, false); });
  for (uint64_t i = 0; i < 2000; ++i) {
    table.OnHeartbeatResponse(host, SequenceNumber(i % 50), Incarnation(i % 3));
    table.FindState(host);
  }
  ticking.join();
  Pass(25, false);
  CHECK(table.FindState(host).liveness == Liveness::kSuspected);
}

}  // namespace sapphirecrank::membership
