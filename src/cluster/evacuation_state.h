#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "cluster/evacuation.h"
#include "cluster/evacuation_order.h"

namespace sapphirecrank::cluster {

/// The replicated set of data centres that are being evacuated.
///
/// The order of the log decides between orders that overtake each other: the last one holds. Thread
/// safety: none.
class EvacuationState {
 public:
  /// Applies a committed order and returns whether it changed the state. A start of an evacuated
  /// data centre changes nothing, so that the time and the host of the first one are kept.
  bool Apply(const EvacuationOrder& order);

  /// Returns the state for a snapshot.
  std::string TakeSnapshot() const;

  /// Restores the state of a snapshot and returns whether that changed it. Ignores a snapshot that
  /// can't be decoded or isn't newer than this state.
  bool Restore(std::string_view snapshot);

  /// Returns the evacuated data centres.
  std::set<base::DataCentreId> DataCentres() const;

  const std::map<base::DataCentreId, Evacuation>& evacuations() const {
    return this->current_evacuations;
  }

  /// Returns the number of changes so far. Equal revisions of one log mean equal states.
  base::EvacuationRevision revision() const { return this->current_revision; }

 private:
  std::map<base::DataCentreId, Evacuation> current_evacuations;
  base::EvacuationRevision current_revision;
};

}  // namespace sapphirecrank::cluster
