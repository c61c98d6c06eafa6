#pragma once

#include <string>

#include "base/ids.h"

namespace sapphirecrank::configuration {

/// What became of a change when it was applied, the same on every host.
struct ChangeOutcome {
  enum class Kind {
    kAccepted,
    /// The configuration had another version than expected.
    kConflict,
    kInvalid,
  };

  Kind kind = Kind::kInvalid;
  /// The configuration's version after the change: the new one if accepted, otherwise the current.
  base::Version version;
  /// Name of the faulty field if invalid.
  std::string field;
  std::string message;

  friend bool operator==(const ChangeOutcome& a, const ChangeOutcome& b) {
    return a.kind == b.kind && a.version == b.version && a.field == b.field &&
           a.message == b.message;
  }
};

}  // namespace sapphirecrank::configuration
