#include "clusterhost/cluster_group.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/manual_clock.h"
#include "cluster/member_name.h"
#include "consensus/raft_status.h"
#include "storage/posix_file_system.h"
#include "tests/support/temporary_folder.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::DataCentreId;
using base::HostId;
using cluster::ClusterState;
using cluster::EvacuationOrder;
using clusterhost::ClusterGroup;
using clusterhost::ProposalOutcome;
using consensus::LogEntry;
using std::chrono::milliseconds;

namespace {

// Addresses of two hosts that both start the group; the second one exists only as messages.
constexpr const char* kSelf = "10.0.0.1:7700";
constexpr const char* kOther = "10.0.0.2:7700";
constexpr const char* kFirstStoreId = "first";
constexpr base::Term kTerm(1);
constexpr int kMaximumTicks = 200;

EvacuationOrder MakeOrder(EvacuationOrder::Kind kind, const char* data_centre) {
  return {kind, DataCentreId(data_centre), base::TimeOfDay(), HostId(kSelf)};
}

std::string StartCommand(const char* data_centre) {
  return ClusterState::EncodeEvacuationCommand(
      MakeOrder(EvacuationOrder::Kind::kStart, data_centre));
}

}  // namespace

TEST_GROUP(ClusterGroup) {
  base::ManualClock clock;
  testing::TemporaryFolder folder;
  std::atomic<bool> is_disk_full{false};
  std::mutex mutex;
  std::vector<base::EvacuationRevision> announced_revisions;
  std::vector<std::string> storage_failures;
  std::function<void()> on_next_status;
  std::unique_ptr<ClusterGroup> group;

  void teardown() override { this->group.reset(); }

  storage::FileSystem MakeFileSystem() {
    storage::FileSystem file_system = storage::MakePosixFileSystem();
    file_system.append = [this, write = file_system.append](storage::FileHandle file,
                                                            std::string_view data) {
      return this->is_disk_full ? base::Result<void>(base::MakeErrorResult(
                                      base::ErrorCode::kStorageFailed, "disk full"))
                                : write(file, data);
    };
    return file_system;
  }

  void OpenGroup(const std::vector<const char*>& seeds) {
    ClusterGroup::Settings settings;
    settings.self = HostId(kSelf);
    settings.incarnation = base::Incarnation(1);
    for (const char* seed : seeds) {
      settings.seeds.emplace_back(seed);
    }
    settings.bootstrap = true;
    settings.data_folder = this->folder.Path();
    settings.file_system = this->MakeFileSystem();
    this->group = std::make_unique<ClusterGroup>(settings, this->MakeHooks());
    CHECK_TRUE(this->group->Open().has_value());
  }

  ClusterGroup::Hooks MakeHooks() {
    ClusterGroup::Hooks hooks;
    hooks.now = this->clock.AsClock();
    hooks.reachable_member = [](const HostId&) { return std::nullopt; };
    hooks.is_host_reachable = [](const HostId&) { return true; };
    hooks.is_host_leaving = [](const HostId&) { return false; };
    hooks.host_data_centre = [](const HostId&) { return DataCentreId("x"); };
    hooks.send_raft_message = [](const consensus::RaftMessage&) {};
    hooks.send_join_request = [](const HostId&) {};
    hooks.on_state_change = [this](const cluster::ConfigurationRecord&, const cluster::ClusterView&,
                                   const cluster::EvacuationState& evacuations) {
      std::lock_guard<std::mutex> lock(this->mutex);
      this->announced_revisions.push_back(evacuations.revision());
    };
    hooks.on_leader_change = [](const HostId&) {};
    hooks.on_lease_held = [](base::Term) {};
    hooks.apply_jobs_command = [](const std::string&) {};
    hooks.take_jobs_snapshot = [] { return std::string(); };
    hooks.restore_jobs_snapshot = [](const std::string&) {};
    hooks.on_status = [this](const HostId&, const consensus::RaftStatus&) {
      std::function<void()> function;
      {
        std::lock_guard<std::mutex> lock(this->mutex);
        function = std::exchange(this->on_next_status, nullptr);
      }
      if (function) {
        function();
      }
    };
    hooks.on_membership_change = [](const cluster::PlannedChange&) {};
    hooks.on_promotion_delayed = [](const HostId&, const std::string&) {};
    hooks.on_storage_status = [this](const std::string& reason) {
      std::lock_guard<std::mutex> lock(this->mutex);
      this->storage_failures.push_back(reason);
    };
    return hooks;
  }

  /// Waits until the group's thread has handled all that was passed to it before.
  void Settle() {
    std::promise<void> done;
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      this->on_next_status = [&done] { done.set_value(); };
    }
    this->group->Tick();
    done.get_future().wait();
  }

  std::future<ProposalOutcome> Order(EvacuationOrder::Kind kind, const char* data_centre) {
    auto outcome = std::make_shared<std::promise<ProposalOutcome>>();
    this->group->ProposeEvacuation(
        MakeOrder(kind, data_centre),
        [outcome](ProposalOutcome received) { outcome->set_value(received); });
    return outcome->get_future();
  }

  /// Advances the clock until an order is committed.
  bool OrderUntilCommitted(EvacuationOrder::Kind kind, const char* data_centre) {
    for (int i = 0; i < kMaximumTicks; ++i) {
      auto outcome = this->Order(kind, data_centre);
      this->Settle();
      if (outcome.wait_for(milliseconds(0)) == std::future_status::ready &&
          outcome.get() == ProposalOutcome::kCommitted) {
        return true;
      }
      this->clock.Advance(milliseconds(25));
    }
    return false;
  }

  /// Receives log entries from the other host, which leads.
  void ReceiveEntries(uint64_t previous_index, const std::vector<std::string>& commands) {
    consensus::AppendRequest request;
    request.previous_index = base::LogIndex(previous_index);
    request.previous_term = previous_index == 0 ? base::Term() : kTerm;
    for (const std::string& command : commands) {
      const base::LogIndex index(previous_index + request.entries.size() + 1);
      request.entries.push_back({index, kTerm, LogEntry::Kind::kCommand, command, {}});
    }
    request.commit_index = base::LogIndex(previous_index + commands.size());
    this->group->ReceiveRaftMessage({cluster::MemberName::Format(HostId(kOther), kFirstStoreId),
                                     cluster::MemberName::Format(HostId(kSelf), kFirstStoreId),
                                     kTerm, request});
    this->Settle();
  }

  uint64_t LastAnnouncedRevision() {
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->announced_revisions.empty() ? 0 : this->announced_revisions.back().value();
  }
};

// Guards against an order that is acknowledged without an entry of its own when it changes nothing:
// an earlier opposite order that isn't committed yet would undo it.
TEST(ClusterGroup, OrderWithoutEffectIsAcknowledgedOnlyOnceCommitted) {
  this->OpenGroup({kSelf, kOther});
  this->ReceiveEntries(0, {StartCommand("x")});
  LONGS_EQUAL(1, this->LastAnnouncedRevision());
  // The other host leads.
  auto repeated = this->Order(EvacuationOrder::Kind::kStart, "x");
  this->Settle();
  CHECK(repeated.get() == ProposalOutcome::kNotLeader);
}

// Guards against orders without effect that are never acknowledged, or that increase the revision.
TEST(ClusterGroup, OrdersWithoutEffectAreCommitted) {
  this->OpenGroup({kSelf});
  CHECK_TRUE(this->OrderUntilCommitted(EvacuationOrder::Kind::kFinish, "x"));
  CHECK_TRUE(this->OrderUntilCommitted(EvacuationOrder::Kind::kStart, "x"));
  CHECK_TRUE(this->OrderUntilCommitted(EvacuationOrder::Kind::kStart, "x"));
  LONGS_EQUAL(1, this->LastAnnouncedRevision());
}

// Guards against an order that is carried out after its operator has given it up and had the
// opposite one carried out: the host stood still, or its disk did, while the order waited.
TEST(ClusterGroup, OrderThatWaitedTooLongIsNotProposed) {
  this->OpenGroup({kSelf});
  CHECK_TRUE(this->OrderUntilCommitted(EvacuationOrder::Kind::kStart, "x"));
  std::promise<void> blocked;
  std::promise<void> resumed;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->on_next_status = [&] {
      blocked.set_value();
      resumed.get_future().wait();
    };
  }
  this->group->Tick();
  blocked.get_future().wait();
  auto late = this->Order(EvacuationOrder::Kind::kStart, "y");
  this->clock.Advance(milliseconds(950));
  resumed.set_value();
  CHECK(late.get() == ProposalOutcome::kUnknown);
  CHECK_TRUE(this->OrderUntilCommitted(EvacuationOrder::Kind::kStart, "z"));
  LONGS_EQUAL(2, this->LastAnnouncedRevision());
}

// Guards against an evacuation that ends on a host whose disk was full for a while: the reopened
// log lacks what was committed meanwhile, and an older state would be announced.
TEST(ClusterGroup, ReopenedDiskAnnouncesNoOlderEvacuations) {
  this->OpenGroup({kSelf, kOther});
  const std::string configuration =
      ClusterState::EncodeConfigurationCommand({base::Version(3), "document"});
  this->ReceiveEntries(0, {configuration, StartCommand("x")});
  this->is_disk_full = true;
  this->ReceiveEntries(2, {StartCommand("y")});
  LONGS_EQUAL(2, this->LastAnnouncedRevision());
  this->is_disk_full = false;
  this->clock.Advance(milliseconds(600));
  this->Settle();
  LONGS_EQUAL(2, this->storage_failures.size());
  STRCMP_EQUAL("", this->storage_failures.back().c_str());
  this->ReceiveEntries(2, {});
  LONGS_EQUAL(2, this->LastAnnouncedRevision());
  this->ReceiveEntries(2, {StartCommand("y"), StartCommand("z")});
  LONGS_EQUAL(3, this->LastAnnouncedRevision());
}

// Guards against an acknowledgement by a host whose disk refuses every write.
TEST(ClusterGroup, OrderIsNotAcknowledgedWhileTheDiskIsFull) {
  this->OpenGroup({kSelf});
  CHECK_TRUE(this->OrderUntilCommitted(EvacuationOrder::Kind::kStart, "x"));
  this->is_disk_full = true;
  auto refused = this->Order(EvacuationOrder::Kind::kStart, "y");
  this->Settle();
  this->clock.Advance(milliseconds(950));
  this->Settle();
  CHECK(refused.get() == ProposalOutcome::kUnknown);
  LONGS_EQUAL(1, this->LastAnnouncedRevision());
  this->is_disk_full = false;
  CHECK_TRUE(this->OrderUntilCommitted(EvacuationOrder::Kind::kStart, "z"));
}
