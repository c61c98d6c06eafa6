#pragma once

#include <string>
#include <utility>

#include "base/result.h"
#include "configuration/change_outcome_history.h"
#include "configuration/configuration.h"
#include "configuration/configuration_change.h"

namespace sapphirecrank::configuration {

/// Encoding, as CBOR, of changes in the log and of the state in snapshots. Thread safety: pure.
struct ConfigurationCodec {
  static std::string EncodeChange(const ConfigurationChange& change);

  /// Decodes a change. Error: `kCorrupted`.
  static base::Result<ConfigurationChange> DecodeChange(const std::string& bytes);

  static std::string EncodeState(const Configuration& configuration,
                                 const ChangeOutcomeHistory& outcome_history);

  /// Decodes a state. Error: `kCorrupted`.
  static base::Result<std::pair<Configuration, ChangeOutcomeHistory>> DecodeState(
      const std::string& bytes);
};

}  // namespace sapphirecrank::configuration
