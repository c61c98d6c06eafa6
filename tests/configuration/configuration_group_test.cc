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

constexpr int kHostCount = 3;

// Three hosts that replicate a configuration. Messages sent in one step arrive in the next step.
class ConfigurationGroup {
 public:
  explicit ConfigurationGroup(uint64_t seed) : random(seed) {
    for (int i = 0; i < kHostCount; ++i) {
      this->hosts.push_back(std::make_unique<Host>(seed + static_cast<uint64_t>(i)));
      this->Restart(i);
    }
  }

  void Crash(int host_index) {
    Host& host = *this->hosts[static_cast<size_t>(host_index)];
    if (host.proposer) {
      host.proposer->OnLeadershipLost();
    }
    host.node.reset();
    host.disk.reset();
    host.files.Crash();
  }

  void Restart(int host_index) {
    Host& host = *this->hosts[static_cast<size_t>(host_index)];
    if (host.node) {
      return;
    }
    RaftMembership membership{{HostId("0"), HostId("1"), HostId("2")}, {}, {}};
    host.disk = std::move(*RaftDiskStorage::Open(host.files.MakeFileSystem(), "data", membership));
    host.store = std::make_unique<ConfigurationStore>();
    ChangeProposer::Hooks proposer_hooks;
    proposer_hooks.propose_command = [&host](const std::string& command) {
      return host.node->Propose(command);
    };
    proposer_hooks.current_term = [&host] { return host.node->Status().term; };
    host.proposer = std::make_unique<ChangeProposer>(proposer_hooks);
    RaftNode::Hooks hooks;
    hooks.now = this->clock.AsClock();
    hooks.random_duration = [this](Duration low, Duration high) {
      return low + Duration(this->random() % static_cast<uint64_t>((high - low).count()));
    };
    hooks.send_message = [this](const RaftMessage& message) {
      this->undelivered.push_back(message);
    };
    hooks.storage = host.disk->MakeStorageHooks();
    hooks.apply_entry = [&host](const LogEntry& entry) {
      host.proposer->OnApplied(entry.index, entry.term, host.store->Apply(entry.command));
    };
    hooks.take_snapshot = [&host] { return host.store->TakeSnapshot(); };
    hooks.restore_snapshot = [&host](const RaftSnapshot& snapshot) {
      host.has_restore_failed = host.has_restore_failed || !host.store->Restore(snapshot.state);
    };
    RaftSettings settings;
    settings.snapshot_interval_entries = 50;
    settings.retained_entries = 5;
    host.node = std::make_unique<RaftNode>(HostId(std::to_string(host_index)),
                                           Incarnation(++this->last_incarnation), settings,
                                           host.disk->recovered_state(), std::move(hooks));
  }

  void Run(milliseconds duration) {
    constexpr milliseconds kStep{5};
    for (milliseconds elapsed(0); elapsed < duration; elapsed += kStep) {
      this->clock.Advance(kStep);
      std::vector<RaftMessage> arriving = std::exchange(this->undelivered, {});
      for (const RaftMessage& message : arriving) {
        Host& host = *this->hosts[std::stoul(message.to.value())];
        if (host.node && this->random() % 100 >= this->message_loss_percent) {
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

  // Returns the proposer of the leader with the latest term, or null.
  ChangeProposer* LeaderProposer() {
    Host* leader = nullptr;
    for (auto& host : this->hosts) {
      if (host->node && host->node->Status().role == RaftRole::kLeader &&
          (leader == nullptr || leader->node->Status().term < host->node->Status().term)) {
        leader = host.get();
      }
    }
    return leader == nullptr ? nullptr : leader->proposer.get();
  }

  void RestoreHealth() {
    this->message_loss_percent = 0;
    for (int i = 0; i < kHostCount; ++i) {
      this->Restart(i);
    }
  }

  ConfigurationStore& store(int host_index) {
    return *this->hosts[static_cast<size_t>(host_index)]->store;
  }
  bool is_running(int host_index) {
    return this->hosts[static_cast<size_t>(host_index)]->node != nullptr;
  }
  bool has_restore_failed(int host_index) {
    return this->hosts[static_cast<size_t>(host_index)]->has_restore_failed;
  }
  void SetMessageLoss(unsigned percent) { this->message_loss_percent = percent; }

 private:
  struct Host {
    explicit Host(uint64_t seed) : files(seed) {}

    FaultyFileSystem files;
    std::unique_ptr<RaftDiskStorage> disk;
    std::unique_ptr<ConfigurationStore> store;
    std::unique_ptr<ChangeProposer> proposer;
    std::unique_ptr<RaftNode> node;
    bool has_restore_failed = false;
  };

  std::mt19937_64 random;
  ManualClock clock;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<RaftMessage> undelivered;
  uint64_t last_incarnation = 0;
  unsigned message_loss_percent = 0;
};

// An operator's client, which resends its change with the same id until it gets an outcome.
struct Operator {
  ConfigurationChange change;
  bool is_waiting = false;
  std::vector<ChangeOutcome> outcomes;

  void Send(ChangeProposer* leader) {
    if (this->is_waiting || leader == nullptr) {
      return;
    }
    this->is_waiting = true;
    leader->Propose(this->change, [this](const Result<ChangeOutcome>& outcome) {
      this->is_waiting = false;
      if (outcome) {
        this->outcomes.push_back(*outcome);
      }
    });
  }
};

ConfigurationChange TeamChange(int change_number, Version expected_version) {
  ConfigurationChange change;
  change.id = ChangeId("change-" + std::to_string(change_number));
  change.expected_version = expected_version;
  change.action = ConfigurationChange::PutTeam{TeamId("team"), {Weight(change_number + 1), {}}};
  return change;
}

}  // namespace

TEST_GROUP(ConfigurationGroup){};

// Guards against a restart of all hosts, after hundreds of changes and several snapshots, that
// restores another configuration than the last accepted one.
TEST(ConfigurationGroup, RestartAfterHundredsOfChanges) {
  ConfigurationGroup group(3);
  group.Run(milliseconds(2000));
  Version version(1);
  for (int i = 0; i < 300; ++i) {
    Operator client;
    client.change = TeamChange(i, version);
    client.Send(group.LeaderProposer());
    group.Run(milliseconds(25));
    LONGS_EQUAL(1, client.outcomes.size());
    CHECK(client.outcomes[0].kind == ChangeOutcome::Kind::kAccepted);
    version = client.outcomes[0].version;
  }
  for (int i = 0; i < kHostCount; ++i) {
    group.Crash(i);
  }
  group.RestoreHealth();
  group.Run(milliseconds(3000));
  for (int i = 0; i < kHostCount; ++i) {
    CHECK(group.store(i).CurrentConfiguration()->version == version);
    CHECK(group.store(i).CurrentConfiguration()->teams.at(TeamId("team")).weight == Weight(300));
    CHECK_FALSE(group.has_restore_failed(i));
  }
}

// Guards against outcomes that no sequential order of the changes explains, and against a version
// that decreases on a running host. Operators race and resend while messages are lost and hosts
// crash.
TEST(ConfigurationGroup, OutcomesOfRacingAndResendingOperatorsAreLinearizable) {
  bool holds = rc::check("outcomes are linearizable", [](uint64_t seed) {
    ConfigurationGroup group(seed);
    std::vector<std::unique_ptr<Operator>> operators;
    std::vector<Version> last_seen_versions(kHostCount);
    group.Run(milliseconds(1500));
    auto events = *rc::gen::container<std::vector<uint32_t>>(
        60, rc::gen::resize(rc::kNominalSize * 100, rc::gen::inRange<uint32_t>(0, 1U << 20)));
    auto check_version_not_decreased = [&](int host) {
      // A restarted host begins at its snapshot, so its version may be lower until it catches up.
      if (!group.is_running(host)) {
        last_seen_versions[static_cast<size_t>(host)] = Version();
        return;
      }
      Version version = group.store(host).CurrentConfiguration()->version;
      RC_ASSERT(version >= last_seen_versions[static_cast<size_t>(host)]);
      last_seen_versions[static_cast<size_t>(host)] = version;
    };
    for (uint32_t event : events) {
      int host = static_cast<int>(event / 16 % kHostCount);
      if (event % 16 == 0) {
        group.Crash(host);
      } else if (event % 16 < 3) {
        group.RestoreHealth();
      } else if (event % 16 == 3) {
        group.SetMessageLoss(event / 64 % 60);
      } else if (event % 16 < 12) {
        auto client = std::make_unique<Operator>();
        client->change = TeamChange(static_cast<int>(operators.size()),
                                    group.store(host).CurrentConfiguration()->version);
        operators.push_back(std::move(client));
      }
      for (auto& client : operators) {
        client->Send(group.LeaderProposer());
      }
      group.Run(milliseconds(event / 64 % 100));
      for (int i = 0; i < kHostCount; ++i) {
        check_version_not_decreased(i);
      }
    }
    group.RestoreHealth();
    for (int round = 0; round < 20; ++round) {
      for (auto& client : operators) {
        if (client->outcomes.empty()) {
          client->Send(group.LeaderProposer());
        }
      }
      group.Run(milliseconds(500));
    }
    std::map<Version, int> accepted_counts;
    Version latest_version(1);
    for (auto& client : operators) {
      RC_ASSERT(!client->outcomes.empty());
      for (const ChangeOutcome& outcome : client->outcomes) {
        RC_ASSERT(outcome == client->outcomes[0]);
      }
      if (client->outcomes[0].kind == ChangeOutcome::Kind::kAccepted) {
        RC_ASSERT(client->outcomes[0].version == client->change.expected_version.Next());
        RC_ASSERT(++accepted_counts[client->change.expected_version] == 1);
        latest_version = std::max(latest_version, client->outcomes[0].version);
      } else {
        RC_ASSERT(client->outcomes[0].version > client->change.expected_version);
      }
    }
    RC_ASSERT(accepted_counts.size() == latest_version.value() - 1);
    for (int i = 0; i < kHostCount; ++i) {
      RC_ASSERT(group.store(i).CurrentConfiguration()->version == latest_version);
      RC_ASSERT_FALSE(group.has_restore_failed(i));
    }
  });
  CHECK(holds);
}
