#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/ids.h"

namespace sapphirecrank::frontend {

/// One HTTP request with its complete body.
struct HttpRequest {
  /// Identifies the request within its server.
  uint64_t request_id = 0;
  std::string method;
  std::string path;
  std::map<std::string, std::string> query_parameters;
  /// By name; names are in lower case.
  std::map<std::string, std::string> headers;
  /// IPv4 address of the caller; empty if it isn't known.
  std::string remote_address;
  std::string body;
  /// The team whose key the caller presented; empty if teams aren't authenticated or an operator
  /// cancels a job.
  base::TeamId authenticated_team;
};

}  // namespace sapphirecrank::frontend
