#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/time.h"

namespace sapphirecrank::cluster {

/// An operator's order to start or to finish the evacuation of a data centre.
struct EvacuationOrder {
  enum class Kind { kStart, kFinish };

  Kind kind = Kind::kStart;
  base::DataCentreId data_centre;
  /// Time of day of the host that accepted the order; for operators only.
  base::TimeOfDay ordered_at;
  base::HostId accepted_by;

  /// Returns the name of a kind for logs and metrics. Thread safety: pure.
  static std::string_view KindName(Kind kind) { return kind == Kind::kStart ? "start" : "finish"; }

  /// Returns the encoding for the replicated log. It begins with a 64-bit 0: program versions that
  /// don't know these orders read them as a configuration of the version 0, which they ignore.
  /// Thread safety: pure.
  std::string Encode() const;

  /// Decodes an order; returns none if the bytes aren't a valid one. Thread safety: pure.
  static std::optional<EvacuationOrder> Decode(std::string_view bytes);
};

}  // namespace sapphirecrank::cluster
