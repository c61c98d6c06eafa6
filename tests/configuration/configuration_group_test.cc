#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <memory>
#include <random>
#include <vector>

#include "base/manual_clock.h"
#include "configuration/change_proposer.h"
#include "configuration/configuration_store.h"
#include "consensus/raft_disk_storage.h"
#include "consensus/raft_node.h"
#include "tests/storage/faulty_file_system.h"

using sapphirecrank::base::ChangeId;
using sapphirecrank::base::Duration;
using sapphirecrank::base::ExecutionVerdict;
using sapphirecrank::base::HostId;
using sapphirecrank::base::Incarnation;
using sapphirecrank::base::ManualClock;
using sapphirecrank::base::Result;
using sapphirecrank::base::TeamId;
using sapphirecrank::base::Version;
using sapphirecrank::base::Weight;
using sapphirecrank::configuration::ChangeOutcome;
using sapphirecrank::configuration::ChangeProposer;
using sapphirecrank::configuration::ConfigurationChange;
using sapphirecrank::configuration::ConfigurationStore;
using sapphirecrank::consensus::LogEntry;
using sapphirecrank::consensus::RaftDiskStorage;
using sapphirecrank::consensus::RaftMembership;
using sapphirecrank::consensus::RaftMessage;
using sapphirecrank::consensus::RaftNode;
using sapphirecrank::consensus::RaftRole;
using sapphirecrank::consensus::RaftSettings;
using sapphirecrank::consensus::RaftSnapshot;
using sapphirecrank::storage::FaultyFileSystem;
using std::chrono::milliseconds;

namespace {

constexpr int kHosts = 3;

// Three hosts with a configuration each, all messages of a step delivered in the next one.
class ConfigurationGroup {
 public:
  explicit ConfigurationGroup(uint64_t seed) : random(seed) {
    for (int i = 0; i < kHosts; ++i) {
      this->hosts.push_back(std::make_unique<Host>(seed + static_cast<uint64_t>(i)));
      this->Restart(i);
    }
  }

  void Crash(int number) {
    Host& host = *this->hosts[static_cast<size_t>(number)];
    if (host.proposer) {
      host.proposer->OnLeadershipLost();
    }
    host.node.reset();
    host.disk.reset();
    host.files.Crash();
  }

  void Restart(int number) {
    Host& host = *this->hosts[static_cast<size_t>(number)];
    if (host.node) {
      return;
    }
    RaftMembership membership{{HostId("0"), HostId("1"), HostId("2")}, {}};
    host.disk = std::move(*RaftDiskStorage::Open(host.files.Hooks(), "data", membership));
    host.store = std::make_unique<ConfigurationStore>();
    ChangeProposer::Hooks proposer;
    proposer.propose_command = [&host](const std::string& command) {
      return host.node->Propose(command);
    };
    proposer.current_term = [&host] { return host.node->Status().term; };
    host.proposer = std::make_unique<ChangeProposer>(proposer);
    RaftNode::Hooks hooks;
    hooks.now = this->clock.AsClock();
    hooks.random_duration = [this](Duration low, Duration high) {
      return low + Duration(this->random() % static_cast<uint64_t>((high - low).count()));
    };
    hooks.send_message = [this](const RaftMessage& message) { this->sent.push_back(message); };
    hooks.storage = host.disk->MakeStorageHooks();
    hooks.apply_entry = [&host](const LogEntry& entry) {
      host.proposer->OnApplied(entry.index, entry.term, host.store->Apply(entry.command));
    };
    hooks.take_snapshot = [&host] { return host.store->TakeSnapshot(); };
    hooks.restore_snapshot = [&host](const RaftSnapshot& snapshot) {
      host.refused = host.refused || !host.store->Restore(snapshot.state);
    };
    RaftSettings settings;
    settings.snapshot_interval_entries = 50;
    settings.retained_entries = 5;
    host.node =
        std::make_unique<RaftNode>(HostId(std::to_string(number)), Incarnation(++this->starts),
                                   settings, host.disk->recovered_state(), std::move(hooks));
  }

  void Run(milliseconds duration) {
    constexpr milliseconds kStep{5};
    for (milliseconds passed(0); passed < duration; passed += kStep) {
      this->clock.Advance(kStep);
      std::vector<RaftMessage> arriving = std::exchange(this->sent, {});
      for (const RaftMessage& message : arriving) {
        Host& host = *this->hosts[std::stoul(message.to.value())];
        if (host.node && this->random() % 100 >= this->lost_percent) {
          host.node->ReceiveMessage(message);
        }
      }
      for (auto& host : this->hosts) {
        if (host->node) {
          host->node->Tick();
          host->node->Flush();
        }
        if (host->proposer && host->node && host->node->Status().role != RaftRole::kLeader) {
          host->proposer->OnLeadershipLost();
        }
      }
    }
  }

  // Returns the host that leads in the latest term, or null.
  ChangeProposer* Leader() {
    Host* leader = nullptr;
    for (auto& host : this->hosts) {
      if (host->node && host->node->Status().role == RaftRole::kLeader &&
          (leader == nullptr || leader->node->Status().term < host->node->Status().term)) {
        leader = host.get();
      }
    }
    return leader == nullptr ? nullptr : leader->proposer.get();
  }

  void Heal() {
    this->lost_percent = 0;
    for (int i = 0; i < kHosts; ++i) {
      this->Restart(i);
    }
  }

  ConfigurationStore& store(int number) { return *this->hosts[static_cast<size_t>(number)]->store; }
  bool running(int number) { return this->hosts[static_cast<size_t>(number)]->node != nullptr; }
  bool refused(int number) { return this->hosts[static_cast<size_t>(number)]->refused; }
  void LoseMessages(unsigned percent) { this->lost_percent = percent; }

 private:
  struct Host {
    explicit Host(uint64_t seed) : files(seed) {}

    FaultyFileSystem files;
    std::unique_ptr<RaftDiskStorage> disk;
    std::unique_ptr<ConfigurationStore> store;
    std::unique_ptr<ChangeProposer> proposer;
    std::unique_ptr<RaftNode> node;
    bool refused = false;
  };

  std::mt19937_64 random;
  ManualClock clock;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<RaftMessage> sent;
  uint64_t starts = 0;
  unsigned lost_percent = 0;
};

// An operator's client: sends its change again with the same id until it gets an outcome.
struct Operator {
  ConfigurationChange change;
  bool waiting = false;
  std::vector<ChangeOutcome> outcomes;

  void Send(ChangeProposer* leader) {
    if (this->waiting || leader == nullptr) {
      return;
    }
    this->waiting = true;
    leader->Propose(this->change, [this](const Result<ChangeOutcome>& outcome) {
      this->waiting = false;
      if (outcome) {
        this->outcomes.push_back(*outcome);
      }
    });
  }
};

ConfigurationChange TeamChange(int number, Version expected) {
  ConfigurationChange change;
  change.id = ChangeId("change-" + std::to_string(number));
  change.expected_version = expected;
  change.action = ConfigurationChange::PutTeam{TeamId("team"), {Weight(number + 1), {}}};
  return change;
}

}  // namespace

TEST_GROUP(ConfigurationGroup){};

// Guards against a restart of all hosts after hundreds of changes that gives anything but the last
// accepted configuration.
TEST(ConfigurationGroup, RestartAfterHundredsOfChanges) {
  ConfigurationGroup group(3);
  group.Run(milliseconds(2000));
  Version version(1);
  for (int i = 0; i < 300; ++i) {
    Operator client;
    client.change = TeamChange(i, version);
    client.Send(group.Leader());
    group.Run(milliseconds(25));
    LONGS_EQUAL(1, client.outcomes.size());
    CHECK(client.outcomes[0].kind == ChangeOutcome::Kind::kAccepted);
    version = client.outcomes[0].version;
  }
  for (int i = 0; i < kHosts; ++i) {
    group.Crash(i);
  }
  group.Heal();
  group.Run(milliseconds(3000));
  for (int i = 0; i < kHosts; ++i) {
    CHECK(group.store(i).CurrentConfiguration()->version == version);
    CHECK(group.store(i).CurrentConfiguration()->teams.at(TeamId("team")).weight == Weight(300));
    CHECK_FALSE(group.refused(i));
  }
}

// Guards against racing and resending operators who, under loss and crashes, get outcomes that no
// order of the changes explains, and against a version or a preset that goes back on any host.
TEST(ConfigurationGroup, RacingAndResendingOperatorsLinearise) {
  bool holds = rc::check("operators linearise", [](uint64_t seed) {
    ConfigurationGroup group(seed);
    std::vector<std::unique_ptr<Operator>> operators;
    std::vector<Version> seen(kHosts);
    group.Run(milliseconds(1500));
    auto events = *rc::gen::container<std::vector<uint32_t>>(
        60, rc::gen::resize(rc::kNominalSize * 100, rc::gen::inRange<uint32_t>(0, 1U << 20)));
    auto check_no_return = [&](int host) {
      // What a restarted host applies starts at its snapshot and catches up again.
      if (!group.running(host)) {
        seen[static_cast<size_t>(host)] = Version();
        return;
      }
      Version version = group.store(host).CurrentConfiguration()->version;
      RC_ASSERT(version >= seen[static_cast<size_t>(host)]);
      seen[static_cast<size_t>(host)] = version;
    };
    for (uint32_t event : events) {
      int host = static_cast<int>(event / 16 % kHosts);
      if (event % 16 == 0) {
        group.Crash(host);
      } else if (event % 16 < 3) {
        group.Heal();
      } else if (event % 16 == 3) {
        group.LoseMessages(event / 64 % 60);
      } else if (event % 16 < 12) {
        auto client = std::make_unique<Operator>();
        client->change = TeamChange(static_cast<int>(operators.size()),
                                    group.store(host).CurrentConfiguration()->version);
        operators.push_back(std::move(client));
      }
      for (auto& client : operators) {
        client->Send(group.Leader());
      }
      group.Run(milliseconds(event / 64 % 100));
      for (int i = 0; i < kHosts; ++i) {
        check_no_return(i);
      }
    }
    group.Heal();
    for (int round = 0; round < 20; ++round) {
      for (auto& client : operators) {
        if (client->outcomes.empty()) {
          client->Send(group.Leader());
        }
      }
      group.Run(milliseconds(500));
    }
    std::map<Version, int> winners;
    Version last(1);
    for (auto& client : operators) {
      RC_ASSERT(!client->outcomes.empty());
      for (const ChangeOutcome& outcome : client->outcomes) {
        RC_ASSERT(outcome == client->outcomes[0]);
      }
      if (client->outcomes[0].kind == ChangeOutcome::Kind::kAccepted) {
        RC_ASSERT(client->outcomes[0].version == client->change.expected_version.Next());
        RC_ASSERT(++winners[client->change.expected_version] == 1);
        last = std::max(last, client->outcomes[0].version);
      } else {
        RC_ASSERT(client->outcomes[0].version > client->change.expected_version);
      }
    }
    RC_ASSERT(winners.size() == last.value() - 1);
    for (int i = 0; i < kHosts; ++i) {
      RC_ASSERT(group.store(i).CurrentConfiguration()->version == last);
      RC_ASSERT_FALSE(group.refused(i));
    }
  });
  CHECK(holds);
}
