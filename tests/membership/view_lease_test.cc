#include "membership/view_lease.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <array>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "base/manual_clock.h"
#include "membership/owner_selector.h"

namespace sapphirecrank::membership {

using base::Epoch;
using std::chrono::milliseconds;

namespace {

constexpr int kHostCount = 3;
constexpr int kKeyCount = 3;

View MakeView(uint64_t epoch, const std::vector<std::string>& members) {
  View view;
  view.epoch = Epoch(epoch);
  for (const std::string& member : members) {
    view.members.push_back(base::HostId(member));
  }
  return view;
}

// Simulates three hosts with drifting clocks and the group that agrees on views. Messages between
// them are delayed, reordered and lost at random.
class Simulation {
 public:
  explicit Simulation(uint32_t seed) : random_engine(seed) {
    for (int i = 0; i < kHostCount; ++i) {
      this->clock_rates[i] = this->RandomBelow(2) == 0 ? 0.9 : 1.1;
      this->leases.push_back(std::make_unique<ViewLease>(
          base::HostId(std::to_string(i)), ViewLease::Hooks{this->clocks[i].AsClock()}));
    }
    this->AgreeOnView();
  }

  void Step() {
    const int host = this->RandomBelow(kHostCount);
    const int action = this->RandomBelow(7);
    if (this->RandomBelow(this->cut_off_period) == 0) {
      this->is_cut_off[host] = !this->is_cut_off[host];
    }
    if (this->RandomBelow(8 * this->view_change_period) == 0) {
      this->AgreeOnView();
    }
    if (action == 0) {
      this->AdvanceClocks(milliseconds(10 * (1 + this->RandomBelow(40))));
    } else if (action <= 2) {
      this->pending_requests.push_back(
          {host, this->clocks[host].Now(), this->agreed_views.back().epoch});
    } else if (action == 3 && !this->is_cut_off[host]) {
      this->AdoptSomeView(host);
    } else if (!this->is_cut_off[host]) {
      this->DeliverSomeConfirmations(host);
    }
  }

  // Returns the largest number of hosts that hold the lease for one key.
  int MaximumLeaseHolders() {
    int maximum = 0;
    for (int key = 0; key < kKeyCount; ++key) {
      int holders = 0;
      for (const auto& lease : this->leases) {
        holders += lease->CheckKeyLease(std::to_string(key)) ? 1 : 0;
      }
      maximum = std::max(maximum, holders);
    }
    return maximum;
  }

 private:
  struct ConfirmationRequest {
    int host;
    base::TimePoint requested_at;
    // Epoch that was current when the host sent the request.
    Epoch epoch;
  };

  int RandomBelow(int bound) { return static_cast<int>(this->random_engine() % bound); }

  void AdvanceClocks(base::Duration time) {
    for (int i = 0; i < kHostCount; ++i) {
      const double passed = static_cast<double>(time.count()) * this->clock_rates[i];
      this->clocks[i].Advance(base::Duration(static_cast<base::Duration::rep>(passed)));
    }
  }

  void AgreeOnView() {
    std::vector<std::string> members;
    for (int i = 0; i < kHostCount; ++i) {
      if (this->RandomBelow(4) > 0) {
        members.push_back(std::to_string(i));
      }
    }
    this->agreed_views.push_back(MakeView(this->agreed_views.size() + 1, members));
  }

  // Makes the host adopt a view: mostly the next or the newest one, sometimes an old one.
  void AdoptSomeView(int host) {
    const auto known = this->leases[host]->CurrentView();
    const size_t next = known ? known->epoch.value() : 0;
    const size_t newest = this->agreed_views.size() - 1;
    const std::array<size_t, 4> choices = {std::min(next, newest), std::min(next, newest), newest,
                                           this->random_engine() % this->agreed_views.size()};
    this->leases[host]->AdoptView(this->agreed_views[choices[this->RandomBelow(4)]]);
  }

  // Delivers confirmations for some of the host's requests, keeps others, and loses the rest. The
  // group has responded either at the time of the request or now.
  void DeliverSomeConfirmations(int host) {
    std::vector<ConfirmationRequest> remaining_requests;
    for (const ConfirmationRequest& request : this->pending_requests) {
      if (request.host != host || this->RandomBelow(3) == 0) {
        remaining_requests.push_back(request);
      } else if (this->RandomBelow(4) > 0) {
        const bool responded_at_once = this->RandomBelow(2) == 0;
        this->leases[host]->ConfirmEpoch(
            responded_at_once ? request.epoch : this->agreed_views.back().epoch,
            request.requested_at);
      }
    }
    while (remaining_requests.size() > 12) {
      remaining_requests.erase(remaining_requests.begin());
    }
    this->pending_requests = remaining_requests;
  }

  std::mt19937 random_engine;
  // These two numbers determine how many steps pass on average between changes. They are random,
  // because some faults only show after long times without a change, and others only with frequent
  // changes.
  int view_change_period = 2 + this->RandomBelow(30);
  int cut_off_period = 20 + this->RandomBelow(100);
  std::array<base::ManualClock, kHostCount> clocks;
  std::array<double, kHostCount> clock_rates{};
  // For each host, whether it receives nothing from the group.
  std::array<bool, kHostCount> is_cut_off{};
  std::vector<std::unique_ptr<ViewLease>> leases;
  std::vector<View> agreed_views;
  std::vector<ConfirmationRequest> pending_requests;
};

}  // namespace

TEST_GROUP(ViewLease) {
  base::ManualClock clock;
  ViewLease lease{base::HostId("a"), {clock.AsClock()}};

  void AdoptViewAndWait(uint64_t epoch, const std::vector<std::string>& members) {
    lease.AdoptView(MakeView(epoch, members));
    clock.Advance(milliseconds(2000));
    lease.ConfirmEpoch(Epoch(epoch), clock.Now());
  }

  // Returns a key that host a owns in a view of a and b.
  static std::string KeyOwnedByA() {
    const View view = MakeView(1, {"a", "b"});
    int key = 0;
    while (!OwnerSelector::IsOwner(view, base::HostId("a"), std::to_string(key))) {
      ++key;
    }
    return std::to_string(key);
  }
};

// Guards against a host that continues to act after it was cut off from its group, and against a
// lease that is counted from the arrival of the response, which may have been delayed.
TEST(ViewLease, LeaseEndsAfterTheLastConfirmedRequest) {
  AdoptViewAndWait(1, {"a"});
  const base::TimePoint requested_at = clock.Now();
  clock.Advance(milliseconds(1000));
  lease.ConfirmEpoch(Epoch(1), requested_at);
  lease.ConfirmEpoch(Epoch(2), clock.Now());
  clock.Advance(milliseconds(499));
  CHECK(lease.CheckKeyLease("key") == Epoch(1));
  clock.Advance(milliseconds(1));
  CHECK(lease.CheckKeyLease("key").error().code == base::ErrorCode::kUnavailable);
  CHECK(lease.CheckMemberLease().error().verdict == base::ExecutionVerdict::kNotRun);
}

// Guards against a new owner that acts before the former one has stopped, a needless delay for keys
// that stay with their owner, and a host that acts although it isn't in the view any more.
TEST(ViewLease, OnlyNewKeysWaitForTheOwnershipDelay) {
  AdoptViewAndWait(1, {"a", "b"});
  const std::string key = KeyOwnedByA();
  CHECK(lease.CheckKeyLease(key).has_value());
  CHECK(lease.AdoptView(MakeView(2, {"a"})));
  CHECK(lease.CheckKeyLease(key) == Epoch(2));
  CHECK(!lease.AdoptView(MakeView(2, {"a"})));
  CHECK(!lease.AdoptView(MakeView(1, {"a", "b"})));
  int waiting_keys = 0;
  for (int i = 0; i < 100; ++i) {
    waiting_keys += lease.CheckKeyLease(std::to_string(i)) ? 0 : 1;
  }
  CHECK(waiting_keys > 20);
  CHECK(waiting_keys < 80);
  lease.AdoptView(MakeView(3, {"b"}));
  CHECK(lease.CheckMemberLease().error().code == base::ErrorCode::kFenced);
  CHECK(!lease.CheckKeyLease(key));
  CHECK(!lease.KeyLeaseStart(key));
}

// Guards against a host that missed a view in which another host owned its keys, and acts as if it
// had owned them all the time.
TEST(ViewLease, MissedViewMakesAllKeysWait) {
  AdoptViewAndWait(1, {"a"});
  lease.AdoptView(MakeView(3, {"a"}));
  lease.ConfirmEpoch(Epoch(3), clock.Now());
  CHECK(!lease.CheckKeyLease("key"));
  CHECK(lease.KeyLeaseStart("key") == clock.Now() + milliseconds(2000));
}

// Guards against two hosts that hold the lease for one key at the same time, for any order of
// views, confirmations and lost messages, and for clocks that are up to 10 % too slow or too fast.
TEST(ViewLease, TwoHostsNeverHoldTheLeaseForOneKey) {
  int total_holders = 0;
  CHECK(rc::check([&total_holders] {
    Simulation simulation(*rc::gen::arbitrary<uint32_t>());
    for (int step = 0; step < 3000; ++step) {
      simulation.Step();
      const int holders = simulation.MaximumLeaseHolders();
      RC_ASSERT(holders <= 1);
      total_holders += holders;
    }
  }));
  // Otherwise the test would also pass if no host ever held a lease.
  CHECK(total_holders > 5000);
}

// Guards against data races; the thread sanitizer reports them.
TEST(ViewLease, ConcurrentUse) {
  std::vector<std::thread> threads;
  threads.reserve(3);
  for (int thread = 0; thread < 3; ++thread) {
    threads.emplace_back([this, thread] {
      for (int i = 1; i < 500; ++i) {
        if (thread == 0) {
          lease.AdoptView(MakeView(i, {"a", "b"}));
          lease.ConfirmEpoch(Epoch(i), clock.Now());
        }
        lease.CheckKeyLease(std::to_string(i));
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(lease.CheckMemberLease() == Epoch(499));
}

}  // namespace sapphirecrank::membership
