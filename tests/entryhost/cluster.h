#pragma once

#include <memory>
#include <string>
#include <vector>

#include "entryhost/entry_host.h"
#include "observability/logger.h"
#include "tests/support/fake_target.h"
#include "tests/support/temporary_folder.h"

namespace sapphirecrank::testing {

/// Entry hosts of one data centre and fake targets in this process, on loopback.
///
/// Thread safety: none, but `Post` may be called from several threads.
class Cluster {
 public:
  /// Starts the hosts and targets, and waits until each target may be used.
  Cluster(size_t hosts, size_t workers, size_t runners);
  ~Cluster();

  /// Answer of an HTTP call.
  struct Answer {
    long status = 0;
    std::string body;
  };

  /// Posts to one host and returns the answer; status 0 if there is none.
  Answer Post(size_t host, const std::string& path, const std::string& body) const;

  /// Returns a submission id that is new.
  std::string NewId();

  /// Returns the body of a job whose tasks sleep and return their index.
  std::string Job(const std::string& id, int tasks, int sleep_ms, int deadline_ms = 20000) const;

  /// Stops a host without draining it.
  void Kill(size_t host);

  /// Drains a host and stops it.
  void Drain(size_t host);

  /// Returns the payloads started on all targets.
  std::vector<std::string> Started() const;

 private:
  void StartHost(size_t index);
  void StartTargets(const std::string& kind, size_t count);
  void WaitUntilUsable(size_t slots) const;

  TemporaryFolder folder;
  std::vector<std::string> http_addresses;
  std::vector<std::string> peer_addresses;
  observability::Logger logger;
  std::vector<std::unique_ptr<entryhost::EntryHost>> hosts;
  std::vector<std::unique_ptr<FakeTarget>> targets;
  int next_id = 0;
};

}  // namespace sapphirecrank::testing
