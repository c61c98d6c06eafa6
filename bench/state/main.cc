#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "base/manual_clock.h"
#include "bench/state/simulated_group.h"
#include "configuration/configuration_codec.h"
#include "configuration/configuration_store.h"
#include "consensus/raft_disk_storage.h"
#include "consensus/raft_node.h"
#include "storage/journal.h"
#include "storage/posix_file_system.h"

namespace {

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using Milliseconds = std::chrono::duration<double, std::milli>;
using WallClock = std::chrono::steady_clock;

Milliseconds MillisecondsSince(WallClock::time_point start) { return WallClock::now() - start; }

double Percentile(std::vector<double> values, double share) {
  std::sort(values.begin(), values.end());
  return values[static_cast<size_t>(share * static_cast<double>(values.size() - 1))];
}

std::string CreateEmptyDirectory(const std::string& parent, const std::string& name) {
  std::string path = parent + "/" + name;
  std::filesystem::remove_all(path);
  std::filesystem::create_directories(path);
  return path;
}

void MeasureAppends(const std::string& parent) {
  constexpr int kRounds = 300;
  constexpr size_t kRecordBytes = 200;
  fmt::print("synced append of records of {} bytes, {} batches\n", kRecordBytes, kRounds);
  for (int batch : {1, 10, 100}) {
    storage::Journal::Options options;
    options.directory = CreateEmptyDirectory(parent, "append");
    auto journal =
        storage::Journal::Open(storage::MakePosixFileSystem(), options, [](const auto&) {});
    std::vector<storage::JournalRecord> records(static_cast<size_t>(batch),
                                                {1, std::string(kRecordBytes, 'x')});
    std::vector<double> times;
    for (int i = 0; i < kRounds; ++i) {
      auto start = WallClock::now();
      (void)(*journal)->Append(records);
      times.push_back(MillisecondsSince(start).count());
    }
    fmt::print("  batch {:4}: p50 {:.3f} ms, p99 {:.3f} ms, p50 per record {:.4f} ms\n", batch,
               Percentile(times, 0.5), Percentile(times, 0.99), Percentile(times, 0.5) / batch);
  }
}

// A group of one host that uses real files.
class SingleHost {
 public:
  SingleHost(const std::string& directory, size_t snapshot_interval) {
    consensus::RaftMembership membership{{base::HostId("only")}, {}};
    this->disk = std::move(
        *consensus::RaftDiskStorage::Open(storage::MakePosixFileSystem(), directory, membership));
    consensus::RaftNode::Hooks hooks;
    hooks.now = this->clock.AsClock();
    hooks.random_duration = [](base::Duration low, base::Duration) { return low; };
    hooks.send_message = [](const auto&) {};
    hooks.storage = this->disk->MakeStorageHooks();
    hooks.apply_entry = [this](const auto& entry) { this->store.Apply(entry.command); };
    hooks.take_snapshot = [this] { return this->store.TakeSnapshot(); };
    hooks.restore_snapshot = [this](const auto& snapshot) {
      (void)this->store.Restore(snapshot.state);
    };
    consensus::RaftSettings settings;
    settings.snapshot_interval_entries = snapshot_interval;
    this->node = std::make_unique<consensus::RaftNode>(
        base::HostId("only"), base::Incarnation(1), settings, this->disk->recovered_state(), hooks);
    this->clock.Advance(std::chrono::seconds(2));
    this->node->Tick();
    this->node->Flush();
    this->node->Flush();
  }

  void Propose(int number) {
    configuration::ConfigurationChange change;
    change.id = base::ChangeId("change-" + std::to_string(number));
    change.expected_version = base::Version(static_cast<uint64_t>(number) + 1);
    change.action = configuration::ConfigurationChange::PutTeam{
        base::TeamId("team-" + std::to_string(number % 550)), {}};
    (void)this->node->Propose(configuration::ConfigurationCodec::EncodeChange(change));
  }

  base::ManualClock clock;
  std::unique_ptr<consensus::RaftDiskStorage> disk;
  configuration::ConfigurationStore store;
  std::unique_ptr<consensus::RaftNode> node;
};

// Returns the restart time in milliseconds after 10,000 changes with snapshots.
double MeasureRestarts(const std::string& parent) {
  constexpr int kBatch = 50;
  constexpr size_t kNoSnapshots = 1'000'000;
  double restart_ms = 0;
  fmt::print("snapshot and restart of one host, 550 teams\n");
  for (size_t interval : {kNoSnapshots, consensus::RaftSettings().snapshot_interval_entries}) {
    for (int changes : {100, 1'000, 10'000}) {
      std::string directory = CreateEmptyDirectory(parent, "restart");
      size_t snapshot_bytes = 0;
      Milliseconds snapshot_time{0};
      {
        SingleHost host(directory, interval);
        for (int i = 0; i < changes; ++i) {
          host.Propose(i);
          if (i % kBatch == kBatch - 1) {
            host.node->Flush();
          }
        }
        host.node->Flush();
        auto start = WallClock::now();
        snapshot_bytes = host.store.TakeSnapshot().size();
        snapshot_time = MillisecondsSince(start);
      }
      auto start = WallClock::now();
      SingleHost restarted(directory, interval);
      restart_ms = MillisecondsSince(start).count();
      bool is_version_exact = restarted.store.CurrentConfiguration()->version ==
                              base::Version(static_cast<uint64_t>(changes) + 1);
      fmt::print(
          "  {:6} changes, {}: encode snapshot {:.2f} ms ({} bytes), restart {:.2f} ms, version "
          "{}\n",
          changes, interval == kNoSnapshots ? "journal only" : "snapshot every 1000",
          snapshot_time.count(), snapshot_bytes, restart_ms, is_version_exact ? "exact" : "WRONG");
    }
  }
  return restart_ms;
}

struct GroupFigures {
  double maximum_change_ms = 0;
  double maximum_staleness_ms = 0;
};

GroupFigures MeasureGroups() {
  constexpr int kChanges = 100;
  constexpr double kSecondsPerChange = 86'400.0 / 96'000.0;
  GroupFigures figures;
  fmt::print(
      "96,000 changes a day, 5 voters, the rest learners without disks, virtual time (1.5 ms one "
      "way, 5 ms a synced write), {} changes; bytes are estimated\n",
      kChanges);
  for (int host_count : {8, 24, 57}) {
    bench::SimulatedGroup group(host_count);
    group.message_count = group.byte_count = group.leader_message_count = group.leader_byte_count =
        0;
    group.processor_time = group.leader_processor_time = base::Duration(0);
    std::vector<double> times;
    double maximum_staleness_ms = 0;
    for (int i = 0; i < kChanges; ++i) {
      base::Duration change_time = group.MeasureChange();
      times.push_back(Milliseconds(change_time).count());
      group.AdvanceTime(std::chrono::duration_cast<base::Duration>(
                            std::chrono::duration<double>(kSecondsPerChange)) -
                        change_time);
      maximum_staleness_ms =
          std::max(maximum_staleness_ms, Milliseconds(group.MaximumStaleness()).count());
    }
    double seconds = kChanges * kSecondsPerChange;
    auto rate = [seconds](uint64_t count) { return static_cast<double>(count) / seconds; };
    auto core_percent = [seconds](base::Duration time) {
      return std::chrono::duration<double>(time).count() / seconds * 100;
    };
    double other_host_count = host_count - 1;
    fmt::print(
        "  {:2} hosts: all {:.0f} messages/s {:.1f} KB/s; leader sends {:.0f} messages/s {:.1f} "
        "KB/s, {:.3f} % of a core; each other host sends {:.1f} messages/s {:.2f} KB/s, {:.4f} % "
        "of a core; change in force on all hosts p50 {:.0f} ms worst {:.0f} ms; oldest "
        "confirmation {:.0f} ms\n",
        host_count, rate(group.message_count), rate(group.byte_count) / 1000,
        rate(group.leader_message_count), rate(group.leader_byte_count) / 1000,
        core_percent(group.leader_processor_time),
        rate(group.message_count - group.leader_message_count) / other_host_count,
        rate(group.byte_count - group.leader_byte_count) / 1000 / other_host_count,
        core_percent(group.processor_time - group.leader_processor_time) / other_host_count,
        Percentile(times, 0.5), Percentile(times, 1), maximum_staleness_ms);
    figures.maximum_change_ms = std::max(figures.maximum_change_ms, Percentile(times, 1));
    figures.maximum_staleness_ms = std::max(figures.maximum_staleness_ms, maximum_staleness_ms);
  }
  return figures;
}

// Measures commits on three hosts that pass messages without delay, with real files in `parent` if
// `on_disk` is set and without storage otherwise.
void MeasureCommits(const std::string& parent, bool on_disk) {
  constexpr int kHosts = 3;
  constexpr int kCommits = 200;
  base::ManualClock clock;
  consensus::RaftMembership membership{{base::HostId("0"), base::HostId("1"), base::HostId("2")},
                                       {}};
  std::vector<consensus::RaftMessage> sent_messages;
  std::vector<std::unique_ptr<consensus::RaftDiskStorage>> disks;
  std::vector<std::unique_ptr<consensus::RaftNode>> nodes;
  std::vector<int> applied_counts(kHosts);
  for (int i = 0; i < kHosts; ++i) {
    consensus::RecoveredState recovered;
    recovered.snapshot.membership = membership;
    consensus::RaftNode::Hooks hooks;
    hooks.now = clock.AsClock();
    hooks.random_duration = [i](base::Duration low, base::Duration) { return low * (i + 1); };
    hooks.send_message = [&sent_messages](const auto& message) {
      sent_messages.push_back(message);
    };
    hooks.apply_entry = [&applied_counts, i](const auto&) {
      ++applied_counts[static_cast<size_t>(i)];
    };
    hooks.take_snapshot = [] { return std::string(); };
    hooks.restore_snapshot = [](const auto&) {};
    if (on_disk) {
      std::string directory = CreateEmptyDirectory(parent, "commit-" + std::to_string(i));
      disks.push_back(std::move(*consensus::RaftDiskStorage::Open(storage::MakePosixFileSystem(),
                                                                  directory, membership)));
      hooks.storage = disks.back()->MakeStorageHooks();
    } else {
      hooks.storage.append_entries = [](const auto&, const auto&) { return base::Result<void>(); };
      hooks.storage.save_snapshot = [](const auto&, const auto&, const auto&) {
        return base::Result<void>();
      };
    }
    nodes.push_back(std::make_unique<consensus::RaftNode>(
        base::HostId(std::to_string(i)), base::Incarnation(1), consensus::RaftSettings(), recovered,
        std::move(hooks)));
  }
  auto deliver_messages = [&] {
    while (!sent_messages.empty()) {
      std::vector<consensus::RaftMessage> arriving_messages = std::exchange(sent_messages, {});
      for (const auto& message : arriving_messages) {
        nodes[std::stoul(message.to.value())]->ReceiveMessage(message);
      }
      for (auto& node : nodes) {
        node->Flush();
      }
    }
  };
  clock.Advance(std::chrono::milliseconds(600));
  nodes[0]->Tick();
  nodes[0]->Flush();
  deliver_messages();
  std::vector<double> times;
  for (int i = 0; i < kCommits; ++i) {
    auto start = WallClock::now();
    (void)nodes[0]->Propose(std::string(200, 'x'));
    nodes[0]->Flush();
    deliver_messages();
    times.push_back(MillisecondsSince(start).count());
  }
  fmt::print(
      "commit on three hosts in one thread, {}: p50 {:.4f} ms, p99 {:.4f} ms, applied on all "
      "hosts {} of {}\n",
      on_disk ? "synced files" : "no files", Percentile(times, 0.5), Percentile(times, 0.99),
      *std::min_element(applied_counts.begin(), applied_counts.end()), kCommits);
}

void PrintBoundCheck(const std::string& name, double figure, double bound) {
  fmt::print("TARGET {} {:.1f} {:.1f} {}\n", name, figure, bound, figure < bound ? "ok" : "short");
}

}  // namespace

// Measures durable storage and the replicated configuration: bench_state [data folder]
int main(int argc, char** argv) {
  std::string parent = argc > 1 ? argv[1] : "build/bench_state_data";
  std::filesystem::create_directories(parent);
  MeasureAppends(parent);
  MeasureRestarts(parent);
  MeasureCommits(parent, false);
  MeasureCommits(parent, true);
  GroupFigures figures = MeasureGroups();
  std::filesystem::remove_all(parent);
  PrintBoundCheck("preset_change_in_force_everywhere_ms_57_hosts_virtual",
                  figures.maximum_change_ms, 1000);
  PrintBoundCheck("configuration_confirmed_age_ms_57_hosts_virtual", figures.maximum_staleness_ms,
                  3000);
  return 0;
}
