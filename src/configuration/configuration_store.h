#pragma once

#include <memory>
#include <string>

#include "base/mutex.h"
#include "base/result.h"
#include "base/thread_annotations.h"
#include "configuration/change_outcome.h"
#include "configuration/change_outcome_history.h"
#include "configuration/configuration.h"
#include "configuration/configuration_change.h"

namespace sapphirecrank::configuration {

/// State machine of the Raft group that replicates the configuration. Applies a committed change
/// only if the configuration has the version that the change expects.
///
/// Thread safety: `CurrentConfiguration` may be called from any thread. All other methods must be
/// called on the thread that runs the group's `RaftNode`.
class ConfigurationStore {
 public:
  /// Starts with the standard presets at version 1.
  ConfigurationStore();

  /// Applies a committed command made by `ConfigurationCodec::EncodeChange`. If the outcome of the
  /// change id is still known, returns it and changes nothing. A command that can't be decoded
  /// changes nothing and is `kInvalid`.
  ChangeOutcome Apply(const std::string& command);

  /// Returns the configuration that is applied on this host. The returned object never changes.
  std::shared_ptr<const Configuration> CurrentConfiguration() const EXCLUDES(mutex);

  /// Returns the encoded state: the configuration and the history of outcomes.
  std::string TakeSnapshot() const;

  /// Replaces the state by one that `TakeSnapshot` returned. Error: `kCorrupted`; the state is then
  /// unchanged.
  base::Result<void> Restore(const std::string& snapshot);

 private:
  ChangeOutcome ApplyChange(const ConfigurationChange& change);
  void Publish(std::shared_ptr<const Configuration> configuration) EXCLUDES(mutex);

  ChangeOutcomeHistory outcome_history;
  mutable base::Mutex mutex;
  std::shared_ptr<const Configuration> current_configuration GUARDED_BY(mutex);
};

}  // namespace sapphirecrank::configuration
