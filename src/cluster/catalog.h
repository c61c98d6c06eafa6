#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/units.h"
#include "cluster/queue.h"

namespace sapphirecrank::cluster {

/// The queues and services of one version of the configuration.
struct Catalog {
  base::Version version;
  std::vector<Queue> queues;
  std::vector<base::ServiceId> services;
  /// Limit of a caller's body; none if the configuration names none.
  std::optional<base::ByteCount> maximum_body_size;

  /// Returns the queue of `host` with the longest path prefix that matches `path`, or null if there
  /// is none. Thread safety: pure.
  const Queue* FindQueue(const std::string& host, const std::string& path) const;
};

}  // namespace sapphirecrank::cluster
