// Measures the slopes that docs/CAPACITY.md uses: memory and processor time for each target,
// processor time and bytes for each task on the way through one entry host, at three or more sizes
// each.

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
#include "observability/entry_host_metrics.h"
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

/// Bytes in use on the heap; unlike the resident size it doesn't count what was freed before.
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

/// A dispatcher whose targets answer at once when `RespondToAllCalls` is called.
class DispatcherHarness {
 public:
  DispatcherHarness() {
    dispatch::Dispatcher::Hooks hooks;
    hooks.now = this->clock.AsClock();
    hooks.usable_from = [](const base::TargetId&) { return base::TimePoint(); };
    hooks.may_start_on_target = [](const base::TargetId&) { return true; };
    hooks.on_task_started = [](const scheduling::TaskSpec&, base::Duration) {};
    hooks.call_target = [this](const dispatch::TargetCall&, auto on_done) {
      this->open_calls.push_back(std::move(on_done));
    };
    hooks.send_report = [this](const base::HostId&, const dispatch::TaskReport&) {
      ++this->report_count;
    };
    this->dispatcher = std::make_unique<dispatch::Dispatcher>("a/1/", hooks);
  }

  void RespondToAllCalls() {
    dispatch::TargetResponse answer;
    answer.succeeded = true;
    answer.verdict = base::ExecutionVerdict::kRan;
    answer.body = "null";
    while (!this->open_calls.empty()) {
      auto calls = std::move(this->open_calls);
      this->open_calls.clear();
      this->clock.Advance(std::chrono::milliseconds(1));
      for (const auto& on_done : calls) {
        on_done(answer);
      }
    }
  }

  base::ManualClock clock;
  std::vector<std::function<void(const dispatch::TargetResponse&)>> open_calls;
  std::unique_ptr<dispatch::Dispatcher> dispatcher;
  int report_count = 0;
};

std::vector<dispatch::Assignment> MakeAssignments(int first, int count, int teams,
                                                  base::TimePoint now) {
  std::vector<dispatch::Assignment> tasks(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    dispatch::Assignment& task = tasks[static_cast<size_t>(i)];
    task.spec.key = {base::SubmissionId(fmt::format("ba:1764842400000-{}", (first + i) / 200)),
                     base::TaskIndex(static_cast<uint32_t>((first + i) % 200))};
    task.spec.team = MakeTeamId((first + i) / 200 % teams);
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
    const double before = HeapBytes();
    DispatcherHarness host;
    for (int i = 0; i < count; ++i) {
      host.dispatcher->OnAnnouncement(MakeAnnouncement(i));
    }
    const double memory = HeapBytes() - before;
    std::vector<targets::TargetAnnouncement> again;
    again.reserve(static_cast<size_t>(count));
    for (int i = 0; i < count; ++i) {
      again.push_back(MakeAnnouncement(i));
    }
    const double start = ProcessorMicroseconds();
    for (const auto& announcement : again) {
      host.dispatcher->OnAnnouncement(announcement);
    }
    const double time = ProcessorMicroseconds() - start;
    fmt::print("targets {:6}: {:8.0f} bytes and {:6.2f} us an announcement for each target\n",
               count, memory / count, time / count);
  }
}

void MeasureDispatchCost() {
  for (const int teams : {1, 55, kTeamCount}) {
    for (const int count : {50, 500, 5000}) {
      DispatcherHarness host;
      for (int i = 0; i < count; ++i) {
        host.dispatcher->OnAnnouncement(MakeAnnouncement(i));
      }
      double time = 0;
      for (int first = 0; first < kTasksPerMeasurement; first += 200) {
        auto tasks = MakeAssignments(first, 200, teams, host.clock.Now());
        const double start = ProcessorMicroseconds();
        host.dispatcher->AssignTasks(base::HostId("b"), std::move(tasks));
        host.RespondToAllCalls();
        time += ProcessorMicroseconds() - start;
      }
      fmt::print("task path, {:3} teams, {:5} targets: {:6.2f} us a task, {} of {} reported\n",
                 teams, count, time / kTasksPerMeasurement, host.report_count,
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
      const std::string there = protocol::EncodeEnvelope(
          {base::SequenceNumber(1), base::SequenceNumber(1), base::SessionNumber(1), assign});
      const std::string back = protocol::EncodeEnvelope(
          {base::SequenceNumber(1), base::SequenceNumber(1), base::SessionNumber(1), results});
      bytes = there.size() + back.size();
      if (!protocol::DecodeEnvelope(there) || !protocol::DecodeEnvelope(back)) {
        std::abort();
      }
    }
    const double time = ProcessorMicroseconds() - start;
    fmt::print(
        "inner messages, {:3} tasks: {:6.0f} bytes and {:6.2f} us a task for assignment and "
        "result, "
        "written and read\n",
        count, static_cast<double>(bytes) / count, time / (rounds * count));
  }
}

void MeasureMemoryBound() {
  std::vector<base::TeamId> teams;
  teams.reserve(kTeamCount);
  for (int i = 0; i < kTeamCount; ++i) {
    teams.push_back(MakeTeamId(i));
  }
  observability::EntryHostMetrics metrics(teams);
  DispatcherHarness host;
  for (int i = 0; i < kMemoryBenchTargetCount; ++i) {
    host.dispatcher->OnAnnouncement(MakeAnnouncement(i));
  }
  for (int first = 0; first < kTeamCount * 200; first += 200) {
    host.dispatcher->AssignTasks(base::HostId("b"),
                                 MakeAssignments(first, 200, kTeamCount, host.clock.Now()));
    host.RespondToAllCalls();
  }
  for (const base::TeamId& team : teams) {
    for (const auto work_class : {base::PriorityClass::kUrgent, base::PriorityClass::kOrdinary,
                                  base::PriorityClass::kBulk}) {
      metrics.OnTaskStart(team, work_class, std::chrono::milliseconds(1));
    }
  }
  const double megabytes = ResidentBytes() / kBytesPerMegabyte;
  fmt::print("TARGET memory_550_teams_5000_targets_mb {:.1f} {:.0f} {}\n", megabytes,
             kMaximumMemoryMegabytes, megabytes <= kMaximumMemoryMegabytes ? "ok" : "short");
}

}  // namespace

int main() {
  // The resident size counts freed memory too, so it is read first.
  MeasureMemoryBound();
  MeasureTargets();
  MeasureDispatchCost();
  MeasureCodec();
  return 0;
}
