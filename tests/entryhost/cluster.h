#pragma once

#include <memory>
#include <string>
#include <vector>

#include "entryhost/entry_host.h"
#include "observability/logger.h"
#include "tests/support/fake_target.h"
#include "tests/support/temporary_folder.h"

namespace sapphirecrank::testing {

/// Runs the entry hosts of one data centre and fake targets in this process, on loopback.
///
/// Thread safety: none, but `Post` may be called from several threads.
class Cluster {
 public:
  /// Starts the hosts and targets, and waits until all slots of the targets can be used and each
  /// host has a confirmed view.
  Cluster(size_t host_count, size_t worker_count, size_t runner_count);
  ~Cluster();

  /// Response to an HTTP request; status 0 if there was none.
  struct Response {
    long status = 0;
    std::string body;
  };

  /// Sends a POST request to one host and waits for the response.
  Response Post(size_t host, const std::string& path, const std::string& body) const;

  /// Returns a submission id that wasn't used before.
  std::string NewSubmissionId();

  /// Returns the request body of a job whose tasks sleep and return their index.
  std::string MakeJobBody(const std::string& id, int task_count, int sleep_ms,
                          int deadline_ms = 20000) const;

  /// Stops a host without draining it.
  void KillHost(size_t host);

  /// Drains a host and stops it.
  void DrainHost(size_t host);

  /// Returns the payloads of all starts on all targets.
  std::vector<std::string> StartedPayloads() const;

 private:
  void StartHost(size_t index);
  void StartTargets(const std::string& kind, size_t count);
  void WaitUntilUsable(size_t slot_count) const;

  TemporaryFolder folder;
  std::vector<std::string> http_addresses;
  std::vector<std::string> peer_addresses;
  observability::Logger logger;
  std::vector<std::unique_ptr<entryhost::EntryHost>> hosts;
  std::vector<std::unique_ptr<FakeTarget>> targets;
  int next_submission_number = 0;
};

}  // namespace sapphirecrank::testing
