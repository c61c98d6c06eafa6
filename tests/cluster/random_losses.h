#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>

#include "base/time.h"
#include "tests/cluster/group_simulation.h"

namespace sapphirecrank::cluster {

/// Lets the hosts of a simulated group fail at random within what the settings allow: no disk is
/// lost while another host counts as lost, except that of the lost host's successor, but hosts may
/// freeze, restart or be cut off at any time, also several at once and whole data centres.
class RandomLosses {
 public:
  struct Settings {
    size_t voter_count = 3;
    /// Hosts beyond the voters.
    size_t spare_host_count = 0;
  };

  RandomLosses(uint64_t seed, Settings settings);

  /// Begins the event that `event` stands for, and lets some time pass.
  void ApplyEvent(uint32_t event);

  /// Orders the start or the finish of an evacuation, as `event` says, and waits up to 400 ms for
  /// its commit.
  void OrderEvacuation(uint32_t event);

  /// Lets all faults end and returns whether the group is complete and has lost nothing.
  bool Finish();

  /// Returns what went wrong first, or nothing.
  const std::string& failure() const { return this->first_failure; }

 private:
  enum class Kind {
    kReplace,
    kReplaceAsPlanned,
    kLoseDisk,
    kFreeze,
    kCutOff,
    kRestart,
    kRestartAll,
    kSplit,
    kSlowDisk,
  };

  void LoseForGood(Kind kind, size_t victim);
  /// Starts the successor of a lost host after a delay. It may be lost as well while the loss still
  /// counts, and have a successor in turn.
  void StartSuccessorLater(const base::DataCentreId& data_centre);
  void StopAsPlanned(size_t victim);
  void Disturb(Kind kind, size_t victim);
  /// Waits until no host counts as lost, and checks that the group can lose the next one.
  void WaitUntilComplete();
  /// Runs the simulation, and the ends of faults when they are due.
  void Run(base::Duration duration);
  /// Calls `end` after `delay`. Until then, and for the catch-up time after it, the loss counts.
  void EndAfter(base::Duration delay, std::function<void()> end);
  base::Duration RandomDuration(base::Duration low, base::Duration high);
  size_t ChooseVictim(uint32_t event);
  void RecordFailure(const std::string& text);

  std::mt19937_64 random;
  GroupSimulation group;
  std::multimap<base::TimePoint, std::function<void()>> ends;
  /// No host counts as lost after this time.
  base::TimePoint losses_end_at;
  std::string history;
  std::string first_failure;
};

}  // namespace sapphirecrank::cluster
