#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "base/timer_queue.h"
#include "clusterhost/allocator_host.h"
#include "clusterhost/gateway_host.h"
#include "observability/logger.h"
#include "storage/posix_file_system.h"
#include "tests/support/free_port.h"
#include "tests/support/temporary_folder.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using clusterhost::AllocatorHost;
using clusterhost::GatewayHost;
using clusterhost::ProposalOutcome;
using gateway::JobResult;
using std::chrono::milliseconds;

namespace {

constexpr auto kPollInterval = milliseconds(20);
constexpr auto kRunTime = milliseconds(20);
// Reached only if a test fails; the cluster forms in about a second.
constexpr int kMaximumPolls = 1500;

/// Simulates one target, on which every run succeeds after `kRunTime`.
class SucceedingTarget {
 public:
  SucceedingTarget(const char* id, const char* data_centre) : id(id), data_centre(data_centre) {}

  /// An allocator that calls the target; it gets no more responses once it has stopped.
  struct CallingAllocator {
    std::mutex mutex;
    bool has_stopped = false;

    void Stop() {
      std::lock_guard<std::mutex> lock(this->mutex);
      this->has_stopped = true;
    }
  };

  AllocatorHost::TargetCalls MakeTargetCalls(const std::shared_ptr<CallingAllocator>& allocator) {
    AllocatorHost::TargetCalls calls;
    calls.start_run = [this](const runs::StartRequest& request, const auto& done) {
      {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->started_runs.push_back(request.key);
        this->start_times.push_back(std::chrono::steady_clock::now());
      }
      done({runs::TargetCallStatus::kAccepted, milliseconds(0)});
    };
    calls.stop_run = [](const runs::StopRequest&, const auto& done) {
      done({runs::TargetCallStatus::kAccepted, milliseconds(0)});
    };
    calls.poll_target = [this, allocator](const runs::PollRequest& request, const auto& done) {
      this->timer_queue.RunAfter(kRunTime, [this, allocator, request, done] {
        std::lock_guard<std::mutex> lock(allocator->mutex);
        if (!allocator->has_stopped) {
          done(this->MakePollResponse(request));
        }
      });
    };
    return calls;
  }

  runs::TargetReport MakeReport() {
    runs::TargetReport report;
    report.id = this->id;
    report.service = base::ServiceId("s");
    report.address = base::NetworkAddress("127.0.0.1:9");
    report.data_centre = this->data_centre;
    report.incarnation = base::Incarnation(1);
    report.sequence_number = this->last_report_number = this->last_report_number.Next();
    report.capacity = {base::MilliCores(16000), base::ByteCount(0), base::AcceleratorCount(0)};
    return report;
  }

  size_t StartCount() {
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->started_runs.size();
  }

  /// Returns how many runs were started later than `time`.
  size_t StartCountAfter(std::chrono::steady_clock::time_point time) {
    std::lock_guard<std::mutex> lock(this->mutex);
    return static_cast<size_t>(
        std::count_if(this->start_times.begin(), this->start_times.end(),
                      [time](const auto& start_time) { return start_time > time; }));
  }

 private:
  runs::PollResponse MakePollResponse(const runs::PollRequest& request) {
    runs::PollResponse response;
    response.status = runs::TargetCallStatus::kAccepted;
    response.run_list.incarnation = base::Incarnation(1);
    std::lock_guard<std::mutex> lock(this->mutex);
    for (uint64_t i = request.acknowledged_up_to.value(); i < this->started_runs.size(); ++i) {
      response.run_list.finished_runs.push_back({base::SequenceNumber(i + 1), this->started_runs[i],
                                                 runs::FinishedRun::Outcome::kSucceeded});
    }
    return response;
  }

  base::TargetId id;
  base::DataCentreId data_centre;
  std::mutex mutex;
  std::vector<runs::RunKey> started_runs;
  std::vector<std::chrono::steady_clock::time_point> start_times;
  base::SequenceNumber last_report_number;
  base::TimerQueue timer_queue{"target"};
};

/// Three allocators, a gateway and two targets in different data centres, of which the second one
/// reports only in some tests.
struct ClusterFixture : public Utest {
  observability::Logger logger{observability::LogLevel::kError,
                               observability::Logger::StandardOutputHooks()};
  SucceedingTarget target{"t1", "x"};
  SucceedingTarget other_target{"t2", "y"};
  std::optional<base::Duration> evacuation_limit;
  std::vector<base::NetworkAddress> seeds;
  /// If not empty, the seeds in the settings of hosts that start from now on.
  std::vector<base::NetworkAddress> reloaded_seeds;
  std::vector<std::unique_ptr<testing::TemporaryFolder>> folders;
  std::array<std::atomic<bool>, 4> is_disk_full{};
  std::vector<std::unique_ptr<AllocatorHost>> allocators;
  std::vector<std::shared_ptr<SucceedingTarget::CallingAllocator>> calling_allocators;
  std::unique_ptr<GatewayHost> gateway;
  uint64_t next_caller_number = 1;

  void setup() override {
    for (int i = 0; i < 3; ++i) {
      this->AddAddress();
    }
    for (size_t i = 0; i < this->seeds.size(); ++i) {
      this->StartAllocator(i, 1, true);
    }
    this->gateway = this->StartGateway(testing::FreeLoopbackAddress(), 9);
  }

  void teardown() override {
    this->gateway.reset();
    for (size_t i = 0; i < this->allocators.size(); ++i) {
      this->StopAllocator(i);
    }
  }

  void AddAddress() {
    this->seeds.emplace_back(testing::FreeLoopbackAddress());
    this->folders.push_back(std::make_unique<testing::TemporaryFolder>());
    this->allocators.emplace_back();
    this->calling_allocators.emplace_back();
  }

  void StopAllocator(size_t i) {
    if (this->allocators[i] != nullptr) {
      this->calling_allocators[i]->Stop();
      this->allocators[i].reset();
    }
  }

  clusterhost::ClusterHostSettings HostSettings(const std::string& address, uint64_t incarnation) {
    clusterhost::ClusterHostSettings settings;
    settings.name = address;
    settings.data_centre = base::DataCentreId("x");
    settings.incarnation = base::Incarnation(incarnation);
    settings.advertised_peer_address = base::NetworkAddress(address);
    settings.seeds = this->reloaded_seeds.empty() ? this->seeds : this->reloaded_seeds;
    return settings;
  }

  std::unique_ptr<GatewayHost> StartGateway(const std::string& address, uint64_t incarnation) {
    auto started = std::make_unique<GatewayHost>(
        this->HostSettings(address, incarnation),
        [](const cluster::ConfigurationRecord& record) -> base::Result<cluster::Catalog> {
          cluster::Catalog catalog;
          catalog.version = record.version;
          return catalog;
        },
        this->logger);
    CHECK_TRUE(started->Start().has_value());
    return started;
  }

  /// Tells whether a leader has proposed to remove a member.
  bool HasReplacedVoter() {
    for (const auto& allocator : this->allocators) {
      if (allocator != nullptr &&
          allocator->MetricsText().find(
              "sapphirecrank_membership_changes_total{change=\"replace_voter\"}") !=
              std::string::npos) {
        return true;
      }
    }
    return false;
  }

  /// Returns a file system whose writes fail while `is_disk_full[i]` is set.
  storage::FileSystem MakeFileSystem(size_t i) {
    storage::FileSystem file_system = storage::MakePosixFileSystem();
    file_system.append = [this, i, write = file_system.append](storage::FileHandle file,
                                                               std::string_view data) {
      if (this->is_disk_full[i]) {
        return base::Result<void>(
            base::MakeErrorResult(base::ErrorCode::kStorageFailed, "disk full"));
      }
      return write(file, data);
    };
    return file_system;
  }

  AllocatorHost::TargetCalls MakeTargetCalls(
      const std::shared_ptr<SucceedingTarget::CallingAllocator>& allocator) {
    const AllocatorHost::TargetCalls first = this->target.MakeTargetCalls(allocator);
    const AllocatorHost::TargetCalls second = this->other_target.MakeTargetCalls(allocator);
    const auto calls_of = [first, second](const runs::TargetEndpoint& endpoint) {
      return endpoint.id == base::TargetId("t1") ? first : second;
    };
    AllocatorHost::TargetCalls calls;
    calls.start_run = [calls_of](const runs::StartRequest& request, const auto& done) {
      calls_of(request.target).start_run(request, done);
    };
    calls.stop_run = [calls_of](const runs::StopRequest& request, const auto& done) {
      calls_of(request.target).stop_run(request, done);
    };
    calls.poll_target = [calls_of](const runs::PollRequest& request, const auto& done) {
      calls_of(request.target).poll_target(request, done);
    };
    return calls;
  }

  void StartAllocator(size_t i, uint64_t incarnation, bool bootstrap) {
    AllocatorHost::Settings settings;
    settings.host = this->HostSettings(this->seeds[i].value(), incarnation);
    settings.group.self = base::HostId(this->seeds[i].value());
    settings.group.incarnation = settings.host.incarnation;
    for (const base::NetworkAddress& seed : this->seeds) {
      settings.group.seeds.emplace_back(seed.value());
    }
    settings.group.bootstrap = bootstrap;
    settings.group.data_folder = this->folders[i]->Path();
    settings.group.file_system = this->MakeFileSystem(i);
    settings.data_centres = {base::DataCentreId("x"), base::DataCentreId("y")};
    settings.evacuation_limit = this->evacuation_limit;
    this->calling_allocators[i] = std::make_shared<SucceedingTarget::CallingAllocator>();
    this->allocators[i] = std::make_unique<AllocatorHost>(
        settings, this->MakeTargetCalls(this->calling_allocators[i]), this->logger);
    CHECK_TRUE(this->allocators[i]->Start().has_value());
  }

  template <typename Condition>
  bool WaitUntil(Condition condition) {
    for (int i = 0; i < kMaximumPolls; ++i) {
      if (condition()) {
        return true;
      }
      std::this_thread::sleep_for(kPollInterval);
    }
    return false;
  }

  bool PutConfigurationAt(size_t i, uint64_t version) {
    std::promise<ProposalOutcome> outcome;
    this->allocators[i]->PutConfiguration(
        {base::Version(version), "document"},
        [&outcome](ProposalOutcome received) { outcome.set_value(received); });
    return outcome.get_future().get() == ProposalOutcome::kCommitted;
  }

  bool PutConfigurationAnywhere(uint64_t version) {
    return this->WaitUntil([this, version] {
      for (size_t i = 0; i < this->allocators.size(); ++i) {
        if (this->allocators[i] != nullptr && this->PutConfigurationAt(i, version)) {
          return true;
        }
      }
      return false;
    });
  }

  ProposalOutcome OrderEvacuationAt(size_t i, bool starts, const char* data_centre) {
    std::promise<ProposalOutcome> outcome;
    const auto callback = [&outcome](ProposalOutcome received) { outcome.set_value(received); };
    if (starts) {
      this->allocators[i]->StartEvacuation(base::DataCentreId(data_centre), callback);
    } else {
      this->allocators[i]->FinishEvacuation(base::DataCentreId(data_centre), callback);
    }
    return outcome.get_future().get();
  }

  bool OrderEvacuationAnywhere(bool starts, const char* data_centre) {
    return this->WaitUntil([&] {
      for (size_t i = 0; i < this->allocators.size(); ++i) {
        if (this->allocators[i] != nullptr &&
            this->OrderEvacuationAt(i, starts, data_centre) == ProposalOutcome::kCommitted) {
          return true;
        }
      }
      return false;
    });
  }

  /// Waits until all running allocators act on exactly these evacuations.
  bool WaitForEvacuations(const std::set<base::DataCentreId>& data_centres) {
    return this->WaitUntil([&] {
      return std::all_of(
          this->allocators.begin(), this->allocators.end(), [&](const auto& allocator) {
            return allocator == nullptr || allocator->Evacuations().DataCentres() == data_centres;
          });
    });
  }

  base::Version ReadVersionAt(size_t i) {
    std::promise<base::Version> read;
    this->allocators[i]->ReadConfiguration(
        [&read](const base::Result<cluster::ConfigurationRecord>& record) {
          read.set_value(record ? record->version : base::Version());
        });
    return read.get_future().get();
  }

  bool RunJob(const std::string& id) {
    gateway::Job job;
    job.id = base::SubmissionId(id);
    job.service = base::ServiceId("s");
    job.latency_objective = std::chrono::seconds(4);
    job.time_left = std::chrono::seconds(5);
    gateway::JobStep step;
    step.task_count = base::TaskCount(3);
    step.required_resources = {base::MilliCores(7000), base::ByteCount(0),
                               base::AcceleratorCount(0)};
    job.steps = {step};
    std::promise<JobResult> result;
    this->gateway->job_dispatcher().Submit(
        job, this->next_caller_number++,
        [&result](const JobResult& received) { result.set_value(received); });
    return result.get_future().get().outcome == JobResult::Outcome::kCompleted;
  }

  void ReportTarget() {
    for (auto& allocator : this->allocators) {
      if (allocator != nullptr && allocator->OnTargetReport(this->target.MakeReport())) {
        return;
      }
    }
  }

  stored::JobResponse AwaitResponse(
      const std::function<void(const stored::JobClient::ResponseCallback&)>& send_request) {
    std::promise<stored::JobResponse> response;
    send_request(
        [&response](const stored::JobResponse& received) { response.set_value(received); });
    return response.get_future().get();
  }

  bool StoreJob(const std::string& id) {
    gateway::Job job;
    job.id = base::SubmissionId(id);
    job.service = base::ServiceId("s");
    gateway::JobStep step;
    step.task_count = base::TaskCount(3);
    step.required_resources = {base::MilliCores(7000), base::ByteCount(0),
                               base::AcceleratorCount(0)};
    job.steps = {step};
    return this->AwaitResponse([&](const auto& callback) {
                 this->gateway->stored_job_client().Submit(job, std::chrono::seconds(2), callback);
               })
               .outcome == stored::JobResponse::Outcome::kDone;
  }

  bool IsJobCompleted(const std::string& id) {
    const stored::JobResponse response = this->AwaitResponse([&](const auto& callback) {
      this->gateway->stored_job_client().QueryJobState(base::SubmissionId(id),
                                                       std::chrono::seconds(1), callback);
    });
    return response.outcome == stored::JobResponse::Outcome::kDone &&
           response.state == stored::JobState::kCompleted;
  }

  /// Reports the target and submits the job repeatedly until it completes. Returns false if it
  /// doesn't before the polls are used up.
  bool ReportUntilJobCompletes(const std::string& id) {
    return this->WaitUntil([this, &id] {
      this->ReportTarget();
      return this->gateway->IsReady() && this->RunJob(id);
    });
  }
};

}  // namespace

TEST_GROUP_BASE(Cluster, ClusterFixture){};

// Guards against evacuations that are lost when all hosts are killed at the same time, that a host
// with an empty disk doesn't learn, or that an order to another host doesn't end.
TEST(Cluster, EvacuationsSurviveRestartsAndLostDisks) {
  CHECK_TRUE(this->PutConfigurationAnywhere(3));
  CHECK_TRUE(this->OrderEvacuationAnywhere(true, "x"));
  CHECK_TRUE(this->OrderEvacuationAnywhere(true, "y"));
  CHECK_TRUE(this->OrderEvacuationAnywhere(false, "x"));
  for (size_t i = 0; i < this->seeds.size(); ++i) {
    this->StopAllocator(i);
  }
  for (size_t i = 0; i < this->seeds.size(); ++i) {
    this->StartAllocator(i, 2, false);
  }
  CHECK_TRUE(this->WaitForEvacuations({base::DataCentreId("y")}));
  this->StopAllocator(0);
  this->folders[0] = std::make_unique<testing::TemporaryFolder>();
  this->StartAllocator(0, 3, false);
  CHECK_TRUE(this->WaitForEvacuations({base::DataCentreId("y")}));
  CHECK_TRUE(this->OrderEvacuationAnywhere(false, "y"));
  CHECK_TRUE(this->WaitForEvacuations({}));
  CHECK(this->allocators[0]->Evacuations().revision() == base::EvacuationRevision(4));
}

// Guards against hosts that don't find each other through the seeds, and against tasks lost on the
// way from gateway to target and back.
TEST(Cluster, FormsFromSeedsAndServesJobs) {
  CHECK_TRUE(this->PutConfigurationAnywhere(3));
  CHECK_TRUE(this->ReportUntilJobCompletes("first"));
  const size_t starts = this->target.StartCount();
  CHECK_TRUE(this->RunJob("second"));
  LONGS_EQUAL(starts + 3, this->target.StartCount());
}

// Guards against a read at any host that returns an older configuration than the latest committed
// one.
TEST(Cluster, EachHostReadsLatestCommittedConfiguration) {
  CHECK_TRUE(this->PutConfigurationAnywhere(3));
  CHECK_TRUE(this->PutConfigurationAnywhere(8));
  CHECK_TRUE(this->PutConfigurationAnywhere(5));
  for (size_t i = 0; i < this->allocators.size(); ++i) {
    // A host that isn't certain returns no version, never an older one.
    base::Version read;
    CHECK_TRUE(this->WaitUntil([&] { return (read = this->ReadVersionAt(i)) != base::Version(); }));
    CHECK(read == base::Version(8));
  }
}

// Guards against the loss of a committed configuration when a host loses its disk, and against
// a host that votes with a blank disk.
TEST(Cluster, SurvivesDiskLoss) {
  CHECK_TRUE(this->PutConfigurationAnywhere(3));
  this->StopAllocator(0);
  this->folders[0] = std::make_unique<testing::TemporaryFolder>();
  this->StartAllocator(0, 2, false);
  CHECK_TRUE(this->PutConfigurationAnywhere(4));
  CHECK_TRUE(this->WaitUntil([this] { return this->ReadVersionAt(0) == base::Version(4); }));
  CHECK_TRUE(this->ReportUntilJobCompletes("after"));
}

// Guards against the loss of a committed configuration when all hosts are killed at the same time.
TEST(Cluster, SurvivesRestartOfAllHosts) {
  CHECK_TRUE(this->PutConfigurationAnywhere(3));
  for (size_t i = 0; i < this->seeds.size(); ++i) {
    this->StopAllocator(i);
  }
  for (size_t i = 0; i < this->seeds.size(); ++i) {
    this->StartAllocator(i, 2, false);
  }
  CHECK_TRUE(this->WaitUntil([this] { return this->ReadVersionAt(1) == base::Version(3); }));
  CHECK_TRUE(this->ReportUntilJobCompletes("after"));
}

// Guards against a host that doesn't vote again until it is restarted after its disk was full for a
// while: once another host was lost, nothing could be committed any more (seen in the soak test,
// seed 612).
TEST(Cluster, HostVotesAgainAfterItsDiskWasFull) {
  CHECK_TRUE(this->PutConfigurationAnywhere(3));
  this->is_disk_full[0] = true;
  CHECK_TRUE(this->PutConfigurationAnywhere(4));
  CHECK_TRUE(this->PutConfigurationAnywhere(5));
  this->is_disk_full[0] = false;
  this->StopAllocator(1);
  CHECK_TRUE(this->PutConfigurationAnywhere(6));
  CHECK_TRUE(this->WaitUntil([this] { return this->ReadVersionAt(0) == base::Version(6); }));
}

// Guards against an order that a host acknowledges although no disk has it, against the loss of
// acknowledged orders when the disks of all hosts refuse every write for a while, and against hosts
// that start no more work meanwhile.
TEST(Cluster, FullDisksLoseNoEvacuationAndStopNoWork) {
  CHECK_TRUE(this->PutConfigurationAnywhere(3));
  CHECK_TRUE(this->ReportUntilJobCompletes("before"));
  CHECK_TRUE(this->OrderEvacuationAnywhere(true, "y"));
  CHECK_TRUE(this->WaitForEvacuations({base::DataCentreId("y")}));
  for (size_t i = 0; i < this->seeds.size(); ++i) {
    this->is_disk_full[i] = true;
  }
  for (size_t i = 0; i < this->seeds.size(); ++i) {
    CHECK_TRUE(this->OrderEvacuationAt(i, false, "y") != ProposalOutcome::kCommitted);
  }
  CHECK_TRUE(this->ReportUntilJobCompletes("meanwhile"));
  CHECK_TRUE(this->WaitForEvacuations({base::DataCentreId("y")}));
  for (size_t i = 0; i < this->seeds.size(); ++i) {
    this->is_disk_full[i] = false;
  }
  CHECK_TRUE(this->OrderEvacuationAnywhere(true, "x"));
  CHECK_TRUE(this->WaitForEvacuations({base::DataCentreId("x"), base::DataCentreId("y")}));
}

// Guards against a host that is stopped for good while its vote still counts, so that the loss of
// the next one ends the group although its successor had joined.
TEST(Cluster, StoppedHostHandsItsVoteOver) {
  CHECK_TRUE(this->PutConfigurationAnywhere(3));
  this->AddAddress();
  this->StartAllocator(3, 1, false);
  CHECK_TRUE(this->WaitUntil([this] { return this->ReadVersionAt(3) == base::Version(3); }));
  this->allocators[0]->Drain();
  this->StopAllocator(0);
  this->StopAllocator(1);
  bool is_changed = false;
  // Without a leader this takes 10 s; an election takes about a second.
  for (int i = 0; i < 500 && !is_changed; ++i) {
    is_changed = this->PutConfigurationAt(2, 4) || this->PutConfigurationAt(3, 4);
    std::this_thread::sleep_for(kPollInterval);
  }
  CHECK_TRUE(is_changed);
}

// Guards against a group without a leader for good when all hosts restart and the voters are none
// of the hosts in each other's settings: a cluster may have more allocators than seeds.
TEST(Cluster, VotersFindEachOtherAfterARestartWithoutTheirSeeds) {
  CHECK_TRUE(this->PutConfigurationAnywhere(3));
  for (size_t i = 0; i < this->seeds.size(); ++i) {
    this->StopAllocator(i);
  }
  this->reloaded_seeds = {base::NetworkAddress(testing::FreeLoopbackAddress())};
  for (size_t i = 0; i < this->seeds.size(); ++i) {
    this->StartAllocator(i, 2, false);
  }
  bool is_read = false;
  // A read that fails takes 0.9 s; an election takes about a second.
  for (int i = 0; i < 20 && !is_read; ++i) {
    is_read = this->ReadVersionAt(1) == base::Version(3);
    std::this_thread::sleep_for(kPollInterval);
  }
  CHECK_TRUE(is_read);
}

// Guards against a gateway that never finds the cluster although its reloaded settings name a host
// that runs: it knew only hosts that are gone.
TEST(Cluster, GatewayFindsTheClusterAfterItsSeedsAreReloaded) {
  CHECK_TRUE(this->PutConfigurationAnywhere(3));
  this->reloaded_seeds = {base::NetworkAddress(testing::FreeLoopbackAddress())};
  const auto late_gateway = this->StartGateway(testing::FreeLoopbackAddress(), 2);
  CHECK_FALSE(late_gateway->IsReady());
  late_gateway->AddSeeds({this->seeds[0]});
  CHECK_TRUE(this->WaitUntil([&] { return late_gateway->IsReady(); }));
}

// Guards against a lost voter that is never replaced because a gateway uses its address, so that
// the loss of the next voter ends the group.
TEST(Cluster, ReplacesALostVoterWhoseAddressAGatewayUses) {
  CHECK_TRUE(this->PutConfigurationAnywhere(3));
  this->AddAddress();
  this->StartAllocator(3, 1, false);
  CHECK_TRUE(this->WaitUntil([this] { return this->ReadVersionAt(3) == base::Version(3); }));
  this->StopAllocator(0);
  const auto other_gateway = this->StartGateway(this->seeds[0].value(), 2);
  CHECK_TRUE(this->WaitUntil([this] { return this->HasReplacedVoter(); }));
  // The settings allow the next loss only once the replacement is complete. Its first entry is
  // committed with the first of these changes, and its second one, which the leader adds then, with
  // the next.
  CHECK_TRUE(this->PutConfigurationAnywhere(4));
  std::this_thread::sleep_for(milliseconds(1000));
  CHECK_TRUE(this->PutConfigurationAnywhere(5));
  this->StopAllocator(1);
  CHECK_TRUE(this->WaitUntil(
      [this] { return this->PutConfigurationAt(2, 6) || this->PutConfigurationAt(3, 6); }));
}

// Guards against a stored job that doesn't run, or whose tasks run twice.
TEST(Cluster, RunsStoredJobs) {
  CHECK_TRUE(this->PutConfigurationAnywhere(3));
  CHECK_TRUE(this->WaitUntil([this] { return this->StoreJob("job"); }));
  CHECK_TRUE(this->WaitUntil([this] {
    this->ReportTarget();
    return this->IsJobCompleted("job");
  }));
  LONGS_EQUAL(3, this->target.StartCount());
}

// Guards against the loss of a stored job when all hosts are killed at the same time, and against a
// completed job that counts as open or unknown after that.
TEST(Cluster, StoredJobsSurviveRestartOfAllHosts) {
  CHECK_TRUE(this->PutConfigurationAnywhere(3));
  CHECK_TRUE(this->WaitUntil([this] { return this->StoreJob("done"); }));
  CHECK_TRUE(this->WaitUntil([this] {
    this->ReportTarget();
    return this->IsJobCompleted("done");
  }));
  CHECK_TRUE(this->StoreJob("open"));
  for (size_t i = 0; i < this->seeds.size(); ++i) {
    this->StopAllocator(i);
  }
  for (size_t i = 0; i < this->seeds.size(); ++i) {
    this->StartAllocator(i, 2, false);
  }
  CHECK_TRUE(this->WaitUntil([this] {
    this->ReportTarget();
    return this->IsJobCompleted("open");
  }));
  CHECK_TRUE(this->IsJobCompleted("done"));
}

// Pattern: hand-over of a leaving target. Guards against runs on a draining target by a new owner
// that only knows an older report of it.
TEST(Cluster, NewOwnerStartsNothingOnADrainingTarget) {
  CHECK_TRUE(this->PutConfigurationAnywhere(3));
  CHECK_TRUE(this->ReportUntilJobCompletes("first"));
  base::HostId owner;
  for (auto& allocator : this->allocators) {
    CHECK_TRUE(this->WaitUntil([&] {
      const auto reported = allocator->OnTargetReport(this->target.MakeReport());
      owner = reported.value_or(base::HostId());
      return reported.has_value();
    }));
  }
  size_t owner_index = 0;
  while (this->seeds[owner_index].value() != owner.value()) {
    ++owner_index;
  }
  // Targets report to their owner, so that the other hosts know only the reports from before.
  runs::TargetReport draining = this->target.MakeReport();
  draining.is_draining = true;
  CHECK_TRUE(this->allocators[owner_index]->OnTargetReport(draining).has_value());
  std::this_thread::sleep_for(milliseconds(300));
  const size_t starts = this->target.StartCount();
  this->StopAllocator(owner_index);
  // The remaining hosts agree on a new owner within about two seconds.
  for (int i = 0; i < 100; ++i) {
    (void)this->RunJob("later" + std::to_string(i));
    std::this_thread::sleep_for(milliseconds(40));
  }
  LONGS_EQUAL(starts, this->target.StartCount());
}

/// A cluster whose settings limit the time until an evacuation is in force everywhere.
TEST_GROUP_BASE(EvacuatingCluster, ClusterFixture) {
  static constexpr auto kEvacuationLimit = milliseconds(3000);
  std::atomic<bool> is_load_ending{false};
  std::mutex load_mutex;
  std::thread load;

  void setup() override {
    this->evacuation_limit = kEvacuationLimit;
    ClusterFixture::setup();
  }

  void teardown() override {
    this->EndLoad();
    ClusterFixture::teardown();
  }

  /// Reports both targets and runs jobs on them until `EndLoad`.
  void BeginLoad() {
    this->load = std::thread([this] {
      for (int i = 0; !this->is_load_ending; ++i) {
        {
          std::lock_guard<std::mutex> lock(this->load_mutex);
          this->ReportBothTargets();
        }
        for (int j = 0; j < 4; ++j) {
          if (!this->RunJob("load" + std::to_string(i) + "-" + std::to_string(j))) {
            // Jobs that are refused at once would keep the hosts from their heartbeats.
            std::this_thread::sleep_for(kPollInterval);
          }
        }
      }
    });
  }

  void EndLoad() {
    this->is_load_ending = true;
    if (this->load.joinable()) {
      this->load.join();
    }
  }

  void ReportBothTargets() {
    for (SucceedingTarget* reporting : {&this->target, &this->other_target}) {
      for (auto& allocator : this->allocators) {
        if (allocator != nullptr && allocator->OnTargetReport(reporting->MakeReport())) {
          break;
        }
      }
    }
  }

  /// Waits until runs are started on a target from now on.
  bool WaitForStart(SucceedingTarget & started) {
    const auto now = std::chrono::steady_clock::now();
    return this->WaitUntil([&] { return started.StartCountAfter(now) > 0; });
  }
};

// Guards against starts in an evacuated data centre by hosts that learned of the order only from
// the next leader, because the leader that acknowledged it was lost before it told anyone, and by
// such a host after its restart; and against targets that stay unused after the evacuation.
TEST(EvacuatingCluster, NothingStartsAfterTheLimitAlthoughTheLeaderIsLost) {
  CHECK_TRUE(this->PutConfigurationAnywhere(3));
  this->BeginLoad();
  CHECK_TRUE(this->WaitForStart(this->target));
  CHECK_TRUE(this->WaitForStart(this->other_target));
  size_t leader = 0;
  std::chrono::steady_clock::time_point acknowledged_at;
  CHECK_TRUE(this->WaitUntil([&] {
    for (leader = 0; leader < this->seeds.size(); ++leader) {
      std::promise<ProposalOutcome> outcome;
      this->allocators[leader]->StartEvacuation(base::DataCentreId("x"),
                                                [&outcome](ProposalOutcome received) {
                                                  outcome.set_value(received);
                                                  if (received == ProposalOutcome::kCommitted) {
                                                    // The host ends before its group's thread can
                                                    // tell the others.
                                                    std::this_thread::sleep_for(milliseconds(500));
                                                  }
                                                });
      if (outcome.get_future().get() == ProposalOutcome::kCommitted) {
        acknowledged_at = std::chrono::steady_clock::now();
        return true;
      }
    }
    return false;
  }));
  {
    std::lock_guard<std::mutex> lock(this->load_mutex);
    this->StopAllocator(leader);
  }
  std::this_thread::sleep_until(acknowledged_at + kEvacuationLimit);
  {
    std::lock_guard<std::mutex> lock(this->load_mutex);
    this->StartAllocator(leader, 2, false);
  }
  CHECK_TRUE(this->WaitForStart(this->other_target));
  std::this_thread::sleep_for(milliseconds(2000));
  LONGS_EQUAL(0, this->target.StartCountAfter(acknowledged_at + kEvacuationLimit));
  CHECK_TRUE(this->OrderEvacuationAnywhere(false, "x"));
  CHECK_TRUE(this->WaitForStart(this->target));
}

// Guards against starts by a host that is cut off from the group and so can't know whether a data
// centre has been evacuated, and against hosts that never start anything because they don't know
// that they are up to date.
TEST(EvacuatingCluster, AHostWithoutAGroupStartsNothingAfterTheLimit) {
  CHECK_TRUE(this->PutConfigurationAnywhere(3));
  this->BeginLoad();
  CHECK_TRUE(this->WaitForStart(this->target));
  base::HostId owner;
  CHECK_TRUE(this->WaitUntil([&] {
    std::lock_guard<std::mutex> lock(this->load_mutex);
    owner = this->allocators[0]->OnTargetReport(this->target.MakeReport()).value_or(owner);
    return !owner.empty();
  }));
  const size_t first_stopped = this->seeds[0].value() == owner.value() ? 1 : 0;
  {
    std::lock_guard<std::mutex> lock(this->load_mutex);
    for (size_t i = 0; i < this->seeds.size(); ++i) {
      if (this->seeds[i].value() != owner.value()) {
        this->StopAllocator(i);
      }
    }
  }
  const auto cut_off_at = std::chrono::steady_clock::now();
  std::this_thread::sleep_until(cut_off_at + kEvacuationLimit + milliseconds(1500));
  LONGS_EQUAL(0, this->target.StartCountAfter(cut_off_at + kEvacuationLimit));
  {
    std::lock_guard<std::mutex> lock(this->load_mutex);
    this->StartAllocator(first_stopped, 2, false);
  }
  CHECK_TRUE(this->WaitForStart(this->target));
}
