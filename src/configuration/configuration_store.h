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

/// State machine of the configuration group: applies committed changes by compare-and-set.
///
/// Thread safety: `Current` may be called from any thread. All other methods belong to the thread
/// that drives the group's `RaftNode`.
class ConfigurationStore {
 public:
  /// Starts with the standard presets at version 1.
  ConfigurationStore();

  /// Applies a committed command made by `ConfigurationCodec::EncodeChange`. A change id that is
  /// still remembered gets its first outcome and changes nothing. A command that can't be decoded
  /// changes nothing and is `kInvalid`.
  ChangeOutcome Apply(const std::string& command);

  /// Returns the configuration that is applied here; it never changes after it was handed out.
  std::shared_ptr<const Configuration> CurrentConfiguration() const EXCLUDES(mutex);

  /// Returns the state, with the remembered change ids.
  std::string TakeSnapshot() const;

  /// Replaces the state by one of `Snapshot`. Error: `kCorrupted`; the state is then unchanged.
  base::Result<void> Restore(const std::string& snapshot);

 private:
  ChangeOutcome ApplyChange(const ConfigurationChange& change);
  void Publish(std::shared_ptr<const Configuration> configuration) EXCLUDES(mutex);

  ChangeOutcomeHistory outcome_history;
  mutable base::Mutex mutex;
  std::shared_ptr<const Configuration> current_configuration GUARDED_BY(mutex);
};

}  // namespace sapphirecrank::configuration
