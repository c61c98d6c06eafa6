#include "limits/intake_budget.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/manual_clock.h"
#include "tests/limits/run_on_threads.h"

namespace sapphirecrank::limits {

using base::ByteCount;
using base::ConnectionCount;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int64_t kConnectionCost = 10;

IntakeSettings MakeSettings() {
  IntakeSettings settings;
  settings.maximum_bytes = ByteCount(1000);
  settings.maximum_connections = ConnectionCount(50);
  settings.connection_cost = ByteCount(kConnectionCost);
  settings.minimum_body_rate = ByteCount(10);
  return settings;
}

}  // namespace

TEST_GROUP(IntakeBudget) {
  const CallerAddress crowd_address{"10.0.0.1"};
  const CallerAddress caller_address{"10.0.0.2"};
  base::ManualClock clock;
  std::vector<std::pair<IntakeId, IntakeReason>> closed;
  int high_usage_count = 0;
  IntakeBudget budget{
      MakeSettings(),
      {clock.AsClock(),
       [this](IntakeId id, IntakeReason reason) { this->closed.emplace_back(id, reason); },
       [this](const IntakeUsage& /*usage*/) { ++this->high_usage_count; }}};

  /// Opens a connection whose body holds `bytes`.
  IntakeId Upload(const CallerAddress& address, int64_t bytes) {
    const auto id = this->budget.OpenConnection(address);
    CHECK(id.has_value());
    this->budget.BeginHeaders(*id);
    CHECK(this->budget.BeginBody(*id, ByteCount(0)));
    CHECK(this->budget.ReceiveBody(*id, ByteCount(bytes), ByteCount(bytes)));
    return *id;
  }

  int64_t UsedBytes() const { return this->budget.Usage().bytes.value(); }
};

// Guards against a crowd of bodies that stop short of their end and keep an ordinary request out.
TEST(IntakeBudget, SlowUploadsGiveWay) {
  const IntakeId stalled = this->Upload(this->crowd_address, 470);
  const IntakeId other_stalled = this->Upload(this->crowd_address, 480);
  this->clock.Advance(milliseconds(1500));
  const IntakeId caller = this->Upload(this->caller_address, 100);
  // The larger one goes first, and the other one then has room.
  LONGS_EQUAL(1, this->closed.size());
  CHECK(this->closed[0].first == other_stalled);
  CHECK(this->closed[0].second == IntakeReason::kBytes);
  CHECK_TRUE(this->budget.IsClosing(other_stalled));
  CHECK_FALSE(this->budget.IsClosing(stalled));
  CHECK_FALSE(this->budget.IsClosing(caller));
}

// Guards against a crowd that sends steadily and takes the room of a short request, and against
// one large upload that takes the room of many small ones.
TEST(IntakeBudget, LargerUploadsGiveWayToSmallerOnesOnly) {
  const IntakeId large = this->Upload(this->crowd_address, 600);
  const IntakeId small = this->Upload(this->caller_address, 300);
  CHECK_FALSE(this->budget.ReceiveBody(large, ByteCount(200), ByteCount(200)));
  CHECK_TRUE(this->closed.empty());
  CHECK(this->budget.ReceiveBody(small, ByteCount(200), ByteCount(200)));
  LONGS_EQUAL(1, this->closed.size());
  CHECK(this->closed[0].first == large);
}

// Guards against an address with few clients that is kept out by one with many.
TEST(IntakeBudget, TheAddressThatHoldsMostGivesWay) {
  for (int i = 0; i < 3; ++i) {
    this->Upload(this->crowd_address, 290);
  }
  this->Upload(this->caller_address, 290);
  LONGS_EQUAL(1, this->closed.size());
}

// Guards against a request that is taken from its handler, which may have run it.
TEST(IntakeBudget, HandledRequestsAreNeverClosed) {
  const IntakeId handled = this->Upload(this->crowd_address, 500);
  CHECK(this->budget.BeginHandling(handled, ByteCount(400)));
  this->clock.Advance(std::chrono::hours(1));
  this->budget.CloseExpired();
  const IntakeId refused = *this->budget.OpenConnection(this->caller_address);
  this->budget.BeginHeaders(refused);
  CHECK_FALSE(this->budget.BeginBody(refused, ByteCount(100)));
  CHECK_TRUE(this->closed.empty());
  LONGS_EQUAL(1, this->budget.Usage().refused.at(static_cast<size_t>(IntakeReason::kBytes)));
  // The handler's part is given back when it returns.
  this->budget.Release(handled, ByteCount(400));
  CHECK(this->budget.BeginBody(refused, ByteCount(100)));
}

// Guards against a request that is handled although its connection was closed before.
TEST(IntakeBudget, ClosedConnectionsAreNotHandled) {
  const IntakeId stalled = this->Upload(this->crowd_address, 900);
  this->clock.Advance(seconds(2));
  this->Upload(this->caller_address, 100);
  CHECK_FALSE(this->budget.BeginHandling(stalled, ByteCount(0)));
  CHECK_FALSE(this->budget.ReceiveBody(stalled, ByteCount(1), ByteCount(1)));
  // Only the connection itself is still charged, until it is closed.
  LONGS_EQUAL(100 + 2 * kConnectionCost, this->UsedBytes());
  this->budget.CloseConnection(stalled);
  this->budget.CloseConnection(stalled);
  LONGS_EQUAL(100 + kConnectionCost, this->UsedBytes());
}

// Guards against memory above the limit: responses of connections that are being closed are still
// in memory, and counted as free they made room for others.
TEST(IntakeBudget, UnreadResponsesAreGivenBackWhenTheyAreFreed) {
  const IntakeId unread = this->Upload(this->crowd_address, 100);
  CHECK(this->budget.BeginHandling(unread, ByteCount(0)));
  CHECK(this->budget.BeginResponse(unread, ByteCount(800)));
  this->clock.Advance(seconds(2));
  const IntakeId caller = this->Upload(this->caller_address, 10);
  CHECK_FALSE(this->budget.ReceiveBody(caller, ByteCount(100), ByteCount(100)));
  LONGS_EQUAL(1, this->closed.size());
  CHECK(this->closed[0].first == unread);
  LONGS_EQUAL(910 + 20, this->UsedBytes());
  this->budget.EndRequest(unread);
  this->budget.CloseConnection(unread);
  CHECK(this->budget.ReceiveBody(caller, ByteCount(100), ByteCount(100)));
  LONGS_EQUAL(120, this->UsedBytes());
}

// Guards against connections without a request that use up all descriptors.
TEST(IntakeBudget, IdleConnectionsGiveWayToNewOnes) {
  for (int i = 0; i < 50; ++i) {
    CHECK(this->budget.OpenConnection(this->crowd_address).has_value());
  }
  CHECK_FALSE(this->budget.OpenConnection(this->caller_address).has_value());
  CHECK_TRUE(this->closed.empty());
  this->clock.Advance(seconds(2));
  CHECK_FALSE(this->budget.OpenConnection(this->caller_address).has_value());
  CHECK_FALSE(this->closed.empty());
  for (const auto& [id, reason] : this->closed) {
    CHECK(reason == IntakeReason::kConnections);
    this->budget.CloseConnection(id);
  }
  CHECK(this->budget.OpenConnection(this->caller_address).has_value());
}

// Guards against clients that hold their connection for ever: without a request, with headers or a
// body that don't end, or with a response that they don't read.
TEST(IntakeBudget, ClosesConnectionsWhoseTimeIsOver) {
  const IntakeSettings settings = MakeSettings();
  struct Expected {
    base::Duration time;
    IntakeReason reason;
  };
  const std::vector<Expected> expectations = {
      {settings.idle_timeout, IntakeReason::kIdle},
      {settings.header_timeout, IntakeReason::kSlowHeaders},
      {settings.body_stall_timeout, IntakeReason::kSlowBody},
      {settings.response_timeout, IntakeReason::kSlowResponse}};
  for (const Expected& expected : expectations) {
    const IntakeId id = *this->budget.OpenConnection(this->crowd_address);
    if (expected.reason != IntakeReason::kIdle) {
      this->budget.BeginHeaders(id);
    }
    if (expected.reason == IntakeReason::kSlowBody) {
      CHECK(this->budget.BeginBody(id, ByteCount(1)));
    }
    if (expected.reason == IntakeReason::kSlowResponse) {
      CHECK(this->budget.BeginHandling(id, ByteCount(1)));
      CHECK(this->budget.BeginResponse(id, ByteCount(1)));
    }
    base::Duration passed{0};
    while (passed < expected.time) {
      this->budget.CloseExpired();
      this->clock.Advance(seconds(1));
      passed += seconds(1);
    }
    CHECK_TRUE(this->closed.empty());
    this->clock.Advance(milliseconds(500));
    this->budget.CloseExpired();
    LONGS_EQUAL(1, this->closed.size());
    CHECK(this->closed[0].second == expected.reason);
    this->budget.CloseConnection(id);
    this->closed.clear();
  }
  LONGS_EQUAL(0, this->UsedBytes());
}

// Guards against a body that arrives a few bytes at a time, without ever stalling.
TEST(IntakeBudget, ClosesUploadsBelowTheMinimumRate) {
  const IntakeId slow = this->Upload(this->crowd_address, 1);
  const IntakeId fast = this->Upload(this->caller_address, 1);
  // After 40 s, a rate of 10 bytes per second has earned the second one its time.
  for (int i = 0; i < 40; ++i) {
    this->clock.Advance(seconds(1));
    this->budget.ReceiveBody(slow, ByteCount(1), ByteCount(0));
    this->budget.ReceiveBody(fast, ByteCount(10), ByteCount(0));
    this->budget.CloseExpired();
  }
  LONGS_EQUAL(1, this->closed.size());
  CHECK(this->closed[0].first == slow);
  CHECK(this->closed[0].second == IntakeReason::kSlowBody);
}

// Guards against a process that stood still, and closes the connections of all its clients when it
// continues, before it has read what they sent.
TEST(IntakeBudget, ForgivesTheTimeInWhichTheProcessStoodStill) {
  this->Upload(this->caller_address, 10);
  this->budget.CloseExpired();
  this->clock.Advance(seconds(100));
  this->budget.CloseExpired();
  CHECK_TRUE(this->closed.empty());
}

// Guards against a log line for each request while a limit is nearly used up.
TEST(IntakeBudget, ReportsHighUsageOnce) {
  const IntakeId first = this->Upload(this->caller_address, 790);
  LONGS_EQUAL(1, this->high_usage_count);
  const IntakeId second = this->Upload(this->caller_address, 50);
  this->budget.CloseConnection(second);
  LONGS_EQUAL(1, this->high_usage_count);
  this->budget.CloseConnection(first);
  this->Upload(this->caller_address, 850);
  LONGS_EQUAL(2, this->high_usage_count);
}

// Guards, over random arrivals, against a budget that is exceeded, against charges that aren't
// given back, and against a short request that is refused while a stalled one holds more than its
// share.
TEST(IntakeBudget, StaysWithinItsLimitsForAnyArrivals) {
  CHECK_TRUE(rc::check([] {
    struct Client {
      int phase = 0;
      int64_t held = kConnectionCost;
      int64_t handler_bytes = 0;
      base::TimePoint progress;
    };
    base::ManualClock clock;
    std::map<IntakeId, Client> clients;
    std::set<IntakeId> closing;
    const IntakeSettings settings = MakeSettings();
    IntakeBudget budget(settings, {clock.AsClock(),
                                   [&](IntakeId id, IntakeReason /*reason*/) {
                                     // Never a request that was passed to its handler, and once.
                                     RC_ASSERT(clients.at(id).phase != 3);
                                     RC_ASSERT(closing.insert(id).second);
                                     // A response is freed when its connection is closed.
                                     if (clients.at(id).phase != 4) {
                                       clients.at(id).held = kConnectionCost;
                                     }
                                   },
                                   [](const IntakeUsage& /*usage*/) {}});
    const int steps = *rc::gen::inRange(0, 300);
    for (int step = 0; step < steps; ++step) {
      const int action = *rc::gen::inRange(0, 10);
      const CallerAddress address("10.0.0." + std::to_string(*rc::gen::inRange(1, 4)));
      auto chosen = clients.begin();
      if (!clients.empty()) {
        std::advance(chosen, *rc::gen::inRange<size_t>(0, clients.size()));
      }
      if (action <= 1 || clients.empty()) {
        if (const auto id = budget.OpenConnection(address)) {
          clients[*id].progress = clock.Now();
        }
      } else if (action == 2) {
        clock.Advance(milliseconds(*rc::gen::inRange(0, 2001)));
        budget.CloseExpired();
      } else if (action == 3) {
        budget.CloseConnection(chosen->first);
        closing.erase(chosen->first);
        clients.erase(chosen);
      } else {
        const IntakeId id = chosen->first;
        const int64_t bytes = *rc::gen::inRange<int64_t>(1, 400);
        Client& client = chosen->second;
        bool is_granted = true;
        if (client.phase == 0) {
          budget.BeginHeaders(id);
          client.phase = 1;
        } else if (client.phase == 1) {
          is_granted = budget.BeginBody(id, ByteCount(bytes));
          client.phase = 2;
          client.held += is_granted ? bytes : 0;
        } else if (client.phase == 2 && action < 8) {
          is_granted = budget.ReceiveBody(id, ByteCount(bytes), ByteCount(bytes));
          client.held += is_granted ? bytes : 0;
        } else if (client.phase == 2) {
          is_granted = budget.BeginHandling(id, ByteCount(bytes));
          client.phase = is_granted ? 3 : 2;
          client.held += is_granted ? bytes : 0;
        } else if (client.phase == 3) {
          is_granted = budget.BeginResponse(id, ByteCount(bytes));
          client.phase = is_granted ? 4 : 3;
          client.held += is_granted ? bytes : 0;
        } else {
          budget.EndRequest(id);
          client.phase = 0;
          client.held = kConnectionCost;
        }
        client.progress = clock.Now();
        if (!is_granted && closing.count(id) == 0) {
          const int64_t share =
              settings.maximum_bytes.value() / static_cast<int64_t>(clients.size());
          for (const auto& [other_id, other] : clients) {
            const bool is_stalled = (other.phase == 1 || other.phase == 2) &&
                                    clock.Now() - other.progress > settings.slow_after;
            RC_ASSERT(other_id == id || closing.count(other_id) > 0 || !is_stalled ||
                      other.held <= std::max(share, kConnectionCost));
          }
        }
      }
      int64_t held = 0;
      for (const auto& [id, client] : clients) {
        held += client.held;
      }
      const IntakeUsage usage = budget.Usage();
      RC_ASSERT(usage.bytes == ByteCount(held));
      RC_ASSERT(usage.bytes <= usage.maximum_bytes);
      RC_ASSERT(usage.connections <= usage.maximum_connections);
    }
    for (const auto& [id, client] : clients) {
      budget.CloseConnection(id);
    }
    RC_ASSERT(budget.Usage().bytes == ByteCount(0));
    RC_ASSERT(budget.Usage().connections == ConnectionCount(0));
  }));
}

// Guards against charges that are lost or counted twice when threads close each other's
// connections.
TEST(IntakeBudget, GivesAllBackWithSeveralThreads) {
  IntakeBudget shared_budget(
      MakeSettings(), {this->clock.AsClock(), [](IntakeId /*id*/, IntakeReason /*reason*/) {},
                       [](const IntakeUsage& /*usage*/) {}});
  RunOnThreads([&shared_budget](int index) {
    const CallerAddress address("10.0.1." + std::to_string(index));
    for (int i = 0; i < 500; ++i) {
      const auto id = shared_budget.OpenConnection(address);
      if (!id) {
        continue;
      }
      shared_budget.BeginHeaders(*id);
      shared_budget.BeginBody(*id, ByteCount(50));
      shared_budget.ReceiveBody(*id, ByteCount(300), ByteCount(100L * (index + 1)));
      if (shared_budget.BeginHandling(*id, ByteCount(20))) {
        shared_budget.BeginResponse(*id, ByteCount(10));
        shared_budget.EndRequest(*id);
      }
      shared_budget.CloseConnection(*id);
    }
  });
  LONGS_EQUAL(0, shared_budget.Usage().bytes.value());
  LONGS_EQUAL(0, shared_budget.Usage().connections.value());
}

}  // namespace sapphirecrank::limits
