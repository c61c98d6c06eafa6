#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/ids.h"

namespace sapphirecrank::frontend {

/// One HTTP request, read completely.
struct HttpRequest {
  /// Names the request within its server.
  uint64_t request_id = 0;
  std::string method;
  std::string path;
  std::map<std::string, std::string> query_parameters;
  /// By name in lower case.
  std::map<std::string, std::string> headers;
  /// IP number of the other side.
  std::string remote_address;
  std::string body;
  /// The team that the caller has proved to belong to; empty if callers aren't checked.
  base::TeamId authenticated_team;
};

}  // namespace sapphirecrank::frontend
