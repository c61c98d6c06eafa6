// Runs fake targets for demonstrations and measurements:
// bench_fake_target KIND COUNT SLOTS DATA_CENTRE ENTRY_HOST...
// KIND is "runner" or "worker". On SIGTERM or SIGINT, prints how many tasks were started and exits.

#include <fmt/format.h>
#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "tests/support/fake_target.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int kFixedArgumentCount = 5;
constexpr int64_t kMilliCores = 16000;
constexpr int64_t kMemoryBytes = 32LL * 1024 * 1024 * 1024;
constexpr int kConnectionsPerTarget = 64;
constexpr int kTargetsPerRack = 8;

testing::FakeTargetSettings MakeSettings(int argc, char** argv, int target_index) {
  testing::FakeTargetSettings settings;
  targets::TargetAnnouncement& announcement = settings.announcement;
  const std::string kind = argv[1];
  announcement.id = base::TargetId(fmt::format("{}-{}", kind, target_index));
  announcement.kind = kind == "runner" ? base::TargetKind::kRunner : base::TargetKind::kWorker;
  announcement.slots = base::SlotCount(std::stoi(argv[3]));
  announcement.data_centre = base::DataCentreId(argv[4]);
  announcement.connections = base::ConnectionCount(kConnectionsPerTarget);
  announcement.rack = base::RackId(fmt::format("rack-{}", target_index / kTargetsPerRack));
  announcement.capacity = {base::MilliCores(kMilliCores), base::ByteCount(kMemoryBytes),
                           base::AcceleratorCount(0)};
  for (int i = kFixedArgumentCount; i < argc; ++i) {
    settings.entry_hosts.emplace_back(argv[i]);
  }
  settings.choose_behaviour = [](const std::string&, const std::string& payload) {
    return testing::EchoBehaviour(payload);
  };
  return settings;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc <= kFixedArgumentCount) {
    fmt::print(stderr, "usage: bench_fake_target KIND COUNT SLOTS DATA_CENTRE ENTRY_HOST...\n");
    return 2;
  }
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::vector<std::unique_ptr<testing::FakeTarget>> targets;
  const int count = std::stoi(argv[2]);
  targets.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    targets.push_back(std::make_unique<testing::FakeTarget>(MakeSettings(argc, argv, i)));
    fmt::print("listening on {}\n", targets.back()->Address());
  }
  std::fflush(stdout);
  int signal = 0;
  sigwait(&signals, &signal);
  size_t started_count = 0;
  // If this variable is set, the payload of each start is written to the file that it names.
  const char* starts_path = std::getenv("FAKE_TARGET_STARTS");
  std::ofstream starts_stream(starts_path == nullptr ? "" : starts_path);
  for (const auto& target : targets) {
    for (const std::string& payload : target->StartedPayloads()) {
      starts_stream << payload << "\n";
    }
    started_count += target->StartedPayloads().size();
    fmt::print("{} started {} tasks, at most {} at once\n", target->Address(),
               target->StartedPayloads().size(), target->MaximumConcurrentRuns());
  }
  fmt::print("started {} tasks\n", started_count);
  return 0;
}
