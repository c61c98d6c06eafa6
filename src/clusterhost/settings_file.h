#pragma once

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

namespace sapphirecrank::clusterhost {

/// The settings file of a gateway or an allocator.
struct SettingsFile {
  /// For logs.
  std::string name;
  base::DataCentreId data_centre;
  /// Where callers connect; empty on an allocator.
  base::NetworkAddress caller_listen_address;
  /// Where the platform asks whether this host takes callers; empty on an allocator.
  base::NetworkAddress readiness_listen_address;
  /// Where metrics are read; empty if they aren't served.
  base::NetworkAddress metrics_listen_address;
  /// Where targets and operators connect; empty on a gateway.
  base::NetworkAddress control_listen_address;
  /// Where other hosts link to this one.
  base::NetworkAddress advertised_peer_address;
  /// Where this host listens if connections to `peer_listen` are forwarded there; else empty.
  base::NetworkAddress peer_bind_address;
  std::vector<base::NetworkAddress> seeds;
  /// The whole cluster starts for the first time.
  bool bootstrap = false;
  /// Empty on a host without a disk.
  std::string data_folder;
  /// Disks that may be lost at the same time.
  int64_t tolerated_disk_failures = 1;
  /// Longest lease that targets grant.
  base::Duration longest_lease{0};
  /// How long a caller waits at least before it submits an unanswered job again.
  base::Duration resubmission_delay{0};
  /// How long the record of an ended stored job is kept.
  base::Duration job_retention{0};

  /// Reads the JSON text of a settings file. Errors: `kInvalidArgument` with the field's name.
  /// Thread safety: pure.
  static base::Result<SettingsFile> Parse(const std::string& text);
};

}  // namespace sapphirecrank::clusterhost
