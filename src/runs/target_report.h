#pragma once

#include <vector>

#include "base/ids.h"
#include "base/resources.h"
#include "base/time.h"

namespace sapphirecrank::runs {

/// What a target says of itself in a heartbeat.
struct TargetReport {
  base::TargetId id;
  base::ServiceId service;
  base::NetworkAddress address;
  base::DataCentreId data_centre;
  base::RackId rack;
  std::vector<base::LabelId> labels;
  /// Start of this life of the target; a target may start again under its id.
  base::Incarnation incarnation;
  /// Rises with each report of one life.
  base::SequenceNumber sequence_number;
  base::Resources capacity;
  /// The target's own clock, since its start.
  base::Duration clock{0};
  /// The target takes no new work and ends soon.
  bool is_draining = false;
  /// The target has said that it ends now.
  bool has_left = false;
};

}  // namespace sapphirecrank::runs
