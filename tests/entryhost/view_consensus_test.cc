#include "entryhost/view_consensus.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "base/timer_queue.h"
#include "tests/support/temporary_folder.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::HostId;
using entryhost::ViewConsensus;
using std::chrono::milliseconds;

namespace {

constexpr auto kTickInterval = milliseconds(20);
// Reached only if a test fails; hosts agree on a view within about two seconds.
constexpr int kMaximumPolls = 750;

/// The view group of one data centre. Messages are handed over in this process; a host that isn't
/// running gets none.
class ViewGroup {
 public:
  ViewGroup() {
    this->timer_queue.RunEvery(kTickInterval, [this] {
      std::lock_guard<std::mutex> lock(this->mutex);
      for (auto& [name, host] : this->hosts) {
        host.consensus->Tick();
      }
    });
  }

  ~ViewGroup() {
    while (!this->hosts.empty()) {
      const std::string name = this->hosts.begin()->first;
      this->Stop(name);
    }
  }

  /// Starts a host whose settings name `voters` as the hosts of the data centre, itself included.
  /// It keeps its folder from an earlier start.
  void Start(const std::string& name, const std::set<std::string>& voters) {
    const ViewConsensus::Member self{HostId(name), base::Incarnation(++this->last_incarnation)};
    Host host;
    host.lease = std::make_unique<membership::ViewLease>(
        self.host, membership::ViewLease::Hooks{base::SteadyClock()});
    consensus::RaftMembership membership;
    for (const std::string& voter : voters) {
      membership.voters.insert(HostId(voter));
    }
    ViewConsensus::Hooks hooks;
    hooks.now = base::SteadyClock();
    hooks.reachable_members = [this, voters] { return this->RunningMembers(voters); };
    hooks.send_best_effort = [this](const consensus::RaftMessage& message) {
      std::lock_guard<std::mutex> lock(this->mutex);
      const auto receiver = this->hosts.find(message.to.value());
      if (receiver != this->hosts.end()) {
        receiver->second.consensus->OnRaftMessage(message);
      }
    };
    hooks.on_view_agreed = [this, name](base::Epoch,
                                        const std::vector<ViewConsensus::Member>& members) {
      std::lock_guard<std::mutex> lock(this->mutex);
      this->views[name] = members;
    };
    hooks.on_membership_committed = [this, name](const consensus::RaftMembership& members) {
      std::lock_guard<std::mutex> lock(this->mutex);
      this->memberships[name] = members;
    };
    host.self = self;
    host.consensus = std::make_unique<ViewConsensus>(self, base::DataCentreId("ba"), membership,
                                                     *host.lease, hooks);
    if (this->folders[name] == nullptr) {
      this->folders[name] = std::make_unique<testing::TemporaryFolder>();
    }
    CHECK_TRUE(host.consensus->OpenStorage(this->folders[name]->Path()).has_value());
    std::lock_guard<std::mutex> lock(this->mutex);
    this->hosts[name] = std::move(host);
  }

  void Stop(const std::string& name) {
    Host host;
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      host = std::move(this->hosts.at(name));
      this->hosts.erase(name);
      this->views.erase(name);
      this->memberships.erase(name);
    }
    host.consensus->Stop();
  }

  /// Waits until all running hosts have agreed on a view that consists of themselves, and they are
  /// the voters of the group.
  bool WaitForViewOfRunningHosts() {
    for (int i = 0; i < kMaximumPolls; ++i) {
      if (this->HasViewOfRunningHosts()) {
        return true;
      }
      std::this_thread::sleep_for(kTickInterval);
    }
    return false;
  }

 private:
  struct Host {
    ViewConsensus::Member self;
    std::unique_ptr<membership::ViewLease> lease;
    std::unique_ptr<ViewConsensus> consensus;
  };

  std::vector<ViewConsensus::Member> RunningMembers(const std::set<std::string>& names) {
    std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<ViewConsensus::Member> members;
    for (const auto& [name, host] : this->hosts) {
      if (names.count(name) != 0) {
        members.push_back(host.self);
      }
    }
    return members;
  }

  bool HasViewOfRunningHosts() {
    std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<ViewConsensus::Member> running;
    consensus::RaftMembership membership;
    for (const auto& [name, host] : this->hosts) {
      running.push_back(host.self);
      membership.voters.insert(host.self.host);
    }
    return std::all_of(this->hosts.begin(), this->hosts.end(), [&](const auto& entry) {
      const auto view = this->views.find(entry.first);
      return view != this->views.end() && view->second == running &&
             this->memberships[entry.first] == membership;
    });
  }

  std::mutex mutex;
  std::map<std::string, std::unique_ptr<testing::TemporaryFolder>> folders;
  std::map<std::string, Host> hosts;
  std::map<std::string, std::vector<ViewConsensus::Member>> views;
  std::map<std::string, consensus::RaftMembership> memberships;
  uint64_t last_incarnation = 0;
  base::TimerQueue timer_queue{"ticks"};
};

}  // namespace

TEST_GROUP(ViewConsensus){};

// Guards against hosts replaced in turn, as docs/OPERATIONS.md describes, that cost the group of a
// data centre its majority: their votes stay with the hosts that are gone.
TEST(ViewConsensus, HostsReplacedInTurnKeepTheMajority) {
  ViewGroup group;
  for (const char* host : {"a", "b", "c"}) {
    group.Start(host, {"a", "b", "c"});
  }
  CHECK_TRUE(group.WaitForViewOfRunningHosts());
  group.Stop("c");
  for (const char* host : {"a", "b"}) {
    group.Stop(host);
    group.Start(host, {"a", "b", "d"});
  }
  group.Start("d", {"a", "b", "d"});
  CHECK_TRUE(group.WaitForViewOfRunningHosts());
  group.Stop("b");
  for (const char* host : {"a", "d"}) {
    group.Stop(host);
    group.Start(host, {"a", "d", "e"});
  }
  group.Start("e", {"a", "d", "e"});
  CHECK_TRUE(group.WaitForViewOfRunningHosts());
}

// Guards against a data centre with two hosts that loses its majority when one is replaced: the
// successor has to get its vote before the other host is drained.
TEST(ViewConsensus, HostOfTwoIsReplacedByAHostThatStartsFirst) {
  ViewGroup group;
  for (const char* host : {"a", "b"}) {
    group.Start(host, {"a", "b"});
  }
  CHECK_TRUE(group.WaitForViewOfRunningHosts());
  for (const char* host : {"a", "b"}) {
    group.Stop(host);
    group.Start(host, {"a", "b", "d"});
  }
  group.Start("d", {"a", "b", "d"});
  CHECK_TRUE(group.WaitForViewOfRunningHosts());
  group.Stop("b");
  for (const char* host : {"a", "d"}) {
    group.Stop(host);
    group.Start(host, {"a", "d"});
  }
  CHECK_TRUE(group.WaitForViewOfRunningHosts());
}
