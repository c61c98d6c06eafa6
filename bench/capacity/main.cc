// Measures the costs per unit that docs/CAPACITY.md uses, at three or more sizes each: memory and
// processor time per target, and processor time and bytes per task that passes through one entry
// host.

#include <fmt/format.h>
#include <malloc.h>
#include <time.h>
#include <unistd.h>

#include <cstdint>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "base/manual_clock.h"
#include "dispatch/dispatcher.h"
#include "observability/request_metrics.h"
#include "protocol/message_codec.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kBytesPerMegabyte = 1e6;
constexpr int kTasksPerMeasurement = 20000;
constexpr int kTeamCount = 550;
constexpr int kMemoryBenchTargetCount = 5000;
constexpr double kMaximumMemoryMegabytes = 128;

double ProcessorMicroseconds() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * kMicrosecondsPerSecond +
         static_cast<double>(now.tv_nsec) / 1e3;
}

/// Returns the bytes in use on the heap. Unlike the resident size, they don't include freed memory.
double HeapBytes() {
  const struct mallinfo2 information = mallinfo2();
  return static_cast<double>(information.uordblks + information.hblkhd);
}

double ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

base::TeamId MakeTeamId(int index) { return base::TeamId(fmt::format("team-{}", index)); }

targets::TargetAnnouncement MakeAnnouncement(int index) {
  targets::TargetAnnouncement announcement;
  announcement.id = base::TargetId(fmt::format("worker-{}", index));
  announcement.address = base::NetworkAddress("10.0.0.1:8080");
  announcement.data_centre = base::DataCentreId("ba");
  announcement.rack = base::RackId(fmt::format("rack-{}", index / 8));
  announcement.slots = base::SlotCount(16);
  announcement.connections = base::ConnectionCount(64);
  announcement.capacity = {base::MilliCores(16000), base::ByteCount(32LL << 30),
                           base::AcceleratorCount(1)};
  return announcement;
}

/// A dispatcher whose calls to targets succeed when `RespondToAllCalls` is called.
class DispatcherHarness {
 public:
  DispatcherHarness() {
    dispatch::Dispatcher::Hooks hooks;
    hooks.now = this->clock.AsClock();
    hooks.usable_from = [](const base::TargetId&) { return base::TimePoint(); };
    hooks.may_start_on_target = [](const base::TargetId&) { return true; };
    hooks.on_start_decision = [](const scheduling::TaskSpec&, base::Duration) {};
    hooks.call_target = [this](const dispatch::TargetCall&, auto on_done) {
      this->open_calls.push_back(std::move(on_done));
    };
    hooks.send_report = [this](const base::HostId&, const dispatch::TaskReport&) {
      ++this->report_count;
    };
    this->dispatcher = std::make_unique<dispatch::Dispatcher>("a/1/", hooks);
  }

  /// Completes all open calls, and then the calls that were started meanwhile, until none is open.
  /// Each round takes 1 ms of simulated time.
  void RespondToAllCalls() {
    dispatch::TargetResponse response;
    response.succeeded = true;
    response.verdict = base::ExecutionVerdict::kRan;
    response.body = "null";
    while (!this->open_calls.empty()) {
      auto calls = std::move(this->open_calls);
      this->open_calls.clear();
      this->clock.Advance(std::chrono::milliseconds(1));
      for (const auto& on_done : calls) {
        on_done(response);
      }
    }
  }

  base::ManualClock clock;
  std::vector<std::function<void(const dispatch::TargetResponse&)>> open_calls;
  std::unique_ptr<dispatch::Dispatcher> dispatcher;
  int report_count = 0;
};

std::vector<dispatch::Assignment> MakeAssignments(int first, int count, int team_count,
                                                  base::TimePoint now) {
  std::vector<dispatch::Assignment> tasks(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    dispatch::Assignment& task = tasks[static_cast<size_t>(i)];
    task.spec.key = {base::SubmissionId(fmt::format("ba:1764842400000-{}", (first + i) / 200)),
                     base::TaskIndex(static_cast<uint32_t>((first + i) % 200))};
    task.spec.team = MakeTeamId((first + i) / 200 % team_count);
    task.spec.kind = base::TaskKind("check");
    task.spec.declared_resources = {base::MilliCores(1000), base::ByteCount(1 << 30),
                                    base::AcceleratorCount(0)};
    task.spec.declared_run_time = std::chrono::milliseconds(100);
    task.spec.deadline = now + std::chrono::seconds(30);
    task.placement = base::PlacementNumber(1);
    task.payload = R"({"tag":123456,"hook":17})";
  }
  return tasks;
}

void MeasureTargets() {
  for (const int count : {500, 5000, 20000}) {
    const double bytes_before = HeapBytes();
    DispatcherHarness harness;
    for (int i = 0; i < count; ++i) {
      harness.dispatcher->OnAnnouncement(MakeAnnouncement(i));
    }
    const double bytes = HeapBytes() - bytes_before;
    std::vector<targets::TargetAnnouncement> announcements;
    announcements.reserve(static_cast<size_t>(count));
    for (int i = 0; i < count; ++i) {
      announcements.push_back(MakeAnnouncement(i));
    }
    const double start = ProcessorMicroseconds();
    for (const auto& announcement : announcements) {
      harness.dispatcher->OnAnnouncement(announcement);
    }
    const double microseconds = ProcessorMicroseconds() - start;
    fmt::print("targets {:6}: {:8.0f} bytes per target and {:6.2f} us per announcement\n", count,
               bytes / count, microseconds / count);
  }
}

void MeasureDispatchCost() {
  for (const int team_count : {1, 55, kTeamCount}) {
    for (const int count : {50, 500, 5000}) {
      DispatcherHarness harness;
      for (int i = 0; i < count; ++i) {
        harness.dispatcher->OnAnnouncement(MakeAnnouncement(i));
      }
      double microseconds = 0;
      for (int first = 0; first < kTasksPerMeasurement; first += 200) {
        auto tasks = MakeAssignments(first, 200, team_count, harness.clock.Now());
        const double start = ProcessorMicroseconds();
        harness.dispatcher->AssignTasks(base::HostId("b"), std::move(tasks));
        harness.RespondToAllCalls();
        microseconds += ProcessorMicroseconds() - start;
      }
      fmt::print(
          "task path, {:3} teams, {:5} targets: {:6.2f} us per task, {} of {} tasks reported\n",
          team_count, count, microseconds / kTasksPerMeasurement, harness.report_count,
          kTasksPerMeasurement);
    }
  }
}

void MeasureCodec() {
  for (const int count : {1, 20, 200}) {
    protocol::AssignTasks assign;
    protocol::TaskResults results;
    for (int i = 0; i < count; ++i) {
      protocol::AssignedTask task;
      task.key = {base::SubmissionId("ba:1764842400000-demo"),
                  base::TaskIndex(static_cast<uint32_t>(i))};
      task.team = MakeTeamId(i);
      task.kind = base::TaskKind("check");
      task.payload = R"({"tag":123456,"hook":17})";
      assign.tasks.push_back(task);
      protocol::TaskResult result;
      result.key = task.key;
      result.response_body = "null";
      results.results.push_back(result);
    }
    const int rounds = kTasksPerMeasurement / count;
    size_t bytes = 0;
    const double start = ProcessorMicroseconds();
    for (int round = 0; round < rounds; ++round) {
      const std::string assignment_message = protocol::EncodeEnvelope(
          {base::SequenceNumber(1), base::SequenceNumber(1), base::SessionNumber(1), assign});
      const std::string results_message = protocol::EncodeEnvelope(
          {base::SequenceNumber(1), base::SequenceNumber(1), base::SessionNumber(1), results});
      bytes = assignment_message.size() + results_message.size();
      if (!protocol::DecodeEnvelope(assignment_message) ||
          !protocol::DecodeEnvelope(results_message)) {
        std::abort();
      }
    }
    const double microseconds = ProcessorMicroseconds() - start;
    fmt::print(
        "inner protocol, {:3} tasks per message: {:6.0f} bytes and {:6.2f} us per task to "
        "encode and decode its assignment and result\n",
        count, static_cast<double>(bytes) / count, microseconds / (rounds * count));
  }
}

void MeasureMemoryBound() {
  std::vector<base::TeamId> teams;
  teams.reserve(kTeamCount);
  for (int i = 0; i < kTeamCount; ++i) {
    teams.push_back(MakeTeamId(i));
  }
  observability::RequestMetrics metrics(teams);
  DispatcherHarness harness;
  for (int i = 0; i < kMemoryBenchTargetCount; ++i) {
    harness.dispatcher->OnAnnouncement(MakeAnnouncement(i));
  }
  for (int first = 0; first < kTeamCount * 200; first += 200) {
    harness.dispatcher->AssignTasks(base::HostId("b"),
                                    MakeAssignments(first, 200, kTeamCount, harness.clock.Now()));
    harness.RespondToAllCalls();
  }
  for (const base::TeamId& team : teams) {
    for (const auto priority_class : {base::PriorityClass::kUrgent, base::PriorityClass::kOrdinary,
                                      base::PriorityClass::kBulk}) {
      metrics.OnTaskStart(team, priority_class, std::chrono::milliseconds(1));
    }
  }
  const double resident_megabytes = ResidentBytes() / kBytesPerMegabyte;
  fmt::print("TARGET memory_550_teams_5000_targets_mb {:.1f} {:.0f} {}\n", resident_megabytes,
             kMaximumMemoryMegabytes,
             resident_megabytes <= kMaximumMemoryMegabytes ? "ok" : "short");
}

}  // namespace

int main() {
  // The resident size includes freed memory, so the memory bound is measured first.
  MeasureMemoryBound();
  MeasureTargets();
  MeasureDispatchCost();
  MeasureCodec();
  return 0;
}
