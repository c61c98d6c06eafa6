#pragma once

#include "base/time.h"
#include "base/units.h"

namespace sapphirecrank::limits {

/// Limits on what clients may have under way at one process.
struct IntakeSettings {
  /// Limit of the bytes that all open connections hold. At least four times `connection_cost`.
  base::ByteCount maximum_bytes{512LL * 1024 * 1024};
  /// Connections may use three quarters of `maximum_bytes`, so that bodies always have room. A
  /// higher value counts as that.
  base::ConnectionCount maximum_connections{4096};
  /// What an open connection counts for by itself: the memory pool of libmicrohttpd (32 KiB), its
  /// connection structures, and a short response.
  base::ByteCount connection_cost{36LL * 1024};
  /// A connection may be without a request for this long.
  base::Duration idle_timeout = std::chrono::seconds(60);
  /// The headers must be complete this long after the request line.
  base::Duration header_timeout = std::chrono::seconds(10);
  /// A body may be without a further byte for this long.
  base::Duration body_stall_timeout = std::chrono::seconds(20);
  /// A body must arrive within this time, and the time that it takes at `minimum_body_rate`.
  base::Duration body_grace = std::chrono::seconds(30);
  /// In bytes per second.
  base::ByteCount minimum_body_rate{4096};
  /// The response must be read within this time.
  base::Duration response_timeout = std::chrono::seconds(60);
  /// A client that has sent or read nothing for this long gives way when the budget is used up.
  base::Duration slow_after = std::chrono::seconds(1);
};

}  // namespace sapphirecrank::limits
