#pragma once

#include "base/ids.h"

namespace sapphirecrank::runs {

/// The target that a request is for, and the fencing token of the owner that sends it.
///
/// A restarted target may have the same id and address as before. It carries out requests that were
/// meant for its earlier incarnation.
struct TargetEndpoint {
  base::TargetId id;
  base::NetworkAddress address;
  /// Incarnation that had the id and address when the request was made, as far as the owner knew.
  base::Incarnation incarnation;
  base::FencingToken fencing_token;
};

}  // namespace sapphirecrank::runs
