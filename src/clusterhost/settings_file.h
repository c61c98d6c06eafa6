#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "base/units.h"

namespace sapphirecrank::clusterhost {

/// The settings file of a gateway or an allocator.
struct SettingsFile {
  /// For logs.
  std::string name;
  base::DataCentreId data_centre;
  /// Where callers connect; empty on an allocator.
  base::NetworkAddress caller_listen_address;
  /// Where the platform checks whether this host is ready; empty on an allocator.
  base::NetworkAddress readiness_listen_address;
  /// Where metrics are served; empty if they aren't.
  base::NetworkAddress metrics_listen_address;
  /// Where targets and operators connect; empty on a gateway.
  base::NetworkAddress control_listen_address;
  /// Where other hosts connect to this one.
  base::NetworkAddress advertised_peer_address;
  /// Where this host listens if connections to `advertised_peer_address` are forwarded there; empty
  /// if they aren't.
  base::NetworkAddress peer_bind_address;
  /// Peer addresses of the allocators to connect to first.
  std::vector<base::NetworkAddress> seeds;
  /// Set when the whole cluster starts for the first time.
  bool bootstrap = false;
  /// Empty on a host without a disk.
  std::string data_folder;
  /// Number of disks that may fail at the same time.
  int64_t tolerated_disk_failures = 1;
  /// A lost host counts as lost until it has been back, or its successor has run, for this long.
  base::Duration catch_up_time{0};
  /// Time from the signal to stop until the platform kills the process.
  base::Duration stop_time{0};
  /// Time between two reports of a target.
  base::Duration target_report_interval{0};
  /// Maximum length of a target's lease.
  base::Duration maximum_lease{0};
  /// Minimum time that a caller waits before it resubmits a job that got no response.
  base::Duration resubmission_delay{0};
  /// How long the record of a stored job is kept after the job has ended.
  base::Duration job_retention{0};
  /// Memory that the process may use. What clients may have under way is a share of it.
  base::ByteCount memory;
  /// Number of descriptors that the process may have open.
  base::ConnectionCount descriptors;
  /// Larger bodies are refused, on each HTTP server. The configuration may set a lower limit for
  /// callers.
  base::ByteCount maximum_body_size;
  /// Headers of a request must be complete this long after its first line.
  base::Duration header_timeout{0};
  /// A body may be without a further byte for this long.
  base::Duration body_stall_timeout{0};
  /// A body must arrive at this rate, in bytes per second, after its first 30 s.
  base::ByteCount minimum_body_rate;

  /// Names of all data centres of the deployment, for the orders of operators; may be empty.
  std::set<base::DataCentreId> data_centres;
  /// Time from the acknowledgement of an evacuation until nothing more is started there, if there
  /// is such a limit.
  std::optional<base::Duration> evacuation_limit;

  /// Parses the JSON text of a settings file. Errors: `kInvalidArgument` with the field's name.
  /// Thread safety: pure.
  static base::Result<SettingsFile> Parse(const std::string& text);
};

}  // namespace sapphirecrank::clusterhost
