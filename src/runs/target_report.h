#pragma once

#include <vector>

#include "base/ids.h"
#include "base/resources.h"
#include "base/time.h"

namespace sapphirecrank::runs {

/// A target's description of itself in a heartbeat.
struct TargetReport {
  base::TargetId id;
  base::ServiceId service;
  base::NetworkAddress address;
  base::DataCentreId data_centre;
  base::RackId rack;
  std::vector<base::LabelId> labels;
  /// Distinguishes the starts of a target under the same id; a later start has a higher value.
  base::Incarnation incarnation;
  /// Increases with each report of one incarnation.
  base::SequenceNumber sequence_number;
  base::Resources capacity;
  /// Time since the target's start, on its own clock.
  base::Duration clock{0};
  /// How much longer the target stays slow after its start, as of this report; zero if it is warm.
  base::Duration cold_time_left{0};
  /// The target accepts no new runs and will stop soon.
  bool is_draining = false;
  /// The target has announced that it is stopping now.
  bool has_left = false;
};

}  // namespace sapphirecrank::runs
