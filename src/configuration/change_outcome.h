#pragma once

#include <string>

#include "base/ids.h"

namespace sapphirecrank::configuration {

/// Outcome of applying a change. It is the same on every host.
struct ChangeOutcome {
  enum class Kind {
    kAccepted,
    /// The configuration had a version other than the expected one.
    kConflict,
    kInvalid,
  };

  Kind kind = Kind::kInvalid;
  /// Version of the configuration after the change: the new one if the change was accepted, the
  /// unchanged one otherwise.
  base::Version version;
  /// Name of the faulty field if the change is invalid.
  std::string field;
  std::string message;

  friend bool operator==(const ChangeOutcome& a, const ChangeOutcome& b) {
    return a.kind == b.kind && a.version == b.version && a.field == b.field &&
           a.message == b.message;
  }
};

}  // namespace sapphirecrank::configuration
