#include "gateway/configuration_fetcher.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::HostId;
using base::Version;
using std::chrono::milliseconds;

TEST_GROUP(ConfigurationFetcher) {
  base::TimePoint now{std::chrono::seconds(100)};
  std::vector<HostId> requests;
  bool is_reachable = true;
  gateway::ConfigurationFetcher fetcher{{[this] { return this->now; },
                                         [this](const HostId& allocator) {
                                           this->requests.push_back(allocator);
                                           return this->is_reachable;
                                         }}};

  void Announce(const char* allocator, uint64_t version) {
    this->fetcher.OnAnnouncement(HostId(allocator), Version(version),
                                 HostId(allocator) == HostId("near"));
  }

  /// Lets time pass in steps of the gateway's tick.
  void RunFor(base::Duration duration) {
    constexpr base::Duration kTick = milliseconds(25);
    for (const base::TimePoint end = this->now + duration; this->now < end; this->now += kTick) {
      this->fetcher.Tick();
    }
  }
};

// Pattern: retry storm on a narrow link. Guards against a copy of each version from each allocator,
// which fills the link of a gateway for seconds while operators send many versions.
TEST(ConfigurationFetcher, StormOfVersionsCostsOneCopyPerInterval) {
  for (uint64_t version = 1; version <= 80; ++version) {
    for (const char* allocator : {"near", "a", "b", "c", "d"}) {
      this->Announce(allocator, version);
    }
    const size_t request_count = this->requests.size();
    this->RunFor(milliseconds(25));
    if (this->requests.size() > request_count) {
      this->fetcher.OnResponse(this->requests.back(), Version(version));
    }
  }
  // 80 versions in 2 s.
  CHECK(this->requests.size() <= 11);
  this->RunFor(milliseconds(225));
  this->fetcher.OnResponse(this->requests.back(), Version(80));
  const size_t request_count = this->requests.size();
  this->RunFor(milliseconds(1000));
  LONGS_EQUAL(request_count, this->requests.size());
}

// Guards against traffic between data centres for a version that an allocator in the gateway's own
// data centre has.
TEST(ConfigurationFetcher, PrefersItsOwnDataCentre) {
  this->Announce("a", 8);
  this->Announce("near", 7);
  this->RunFor(milliseconds(25));
  CHECK(this->requests == std::vector<HostId>{HostId("near")});
}

// Guards against a gateway that stays on an old version because the allocator that it asked is
// silent or lost.
TEST(ConfigurationFetcher, AsksAnotherAllocatorIfOneDoesNotRespond) {
  this->Announce("near", 7);
  this->Announce("a", 7);
  this->RunFor(milliseconds(425));
  CHECK((this->requests == std::vector<HostId>{HostId("near"), HostId("a")}));
  this->fetcher.OnAllocatorLost(HostId("a"));
  this->RunFor(milliseconds(425));
  LONGS_EQUAL(3, this->requests.size());
  CHECK(this->requests.back() == HostId("near"));
}

// Guards against a request in each tick to an allocator that can't be reached.
TEST(ConfigurationFetcher, ForgetsAnnouncementsOfAnUnreachableAllocator) {
  this->is_reachable = false;
  this->Announce("near", 7);
  this->RunFor(milliseconds(1000));
  LONGS_EQUAL(1, this->requests.size());
}

// Guards against endless requests to an allocator that sends an older version than it announced,
// for example after the loss of its disk.
TEST(ConfigurationFetcher, DoesNotAskAgainForAVersionThatTheAllocatorHasLost) {
  this->Announce("near", 7);
  this->RunFor(milliseconds(25));
  this->fetcher.OnResponse(HostId("near"), Version(6));
  this->RunFor(milliseconds(1000));
  LONGS_EQUAL(1, this->requests.size());
}
