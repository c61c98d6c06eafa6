#pragma once

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace sapphirecrank::outbound {

/// One HTTP request to another party.
struct HttpClientRequest {
  base::NetworkAddress address;
  std::string method = "POST";
  /// Path with its leading slash.
  std::string path;
  /// Header lines without their ends, for example "Content-Type: application/json".
  std::vector<std::string> headers;
  /// A POST with an empty body is sent as "null", see `HttpClient`.
  std::string body;
  /// The call ends with a timeout after this long.
  base::Duration timeout{0};
};

}  // namespace sapphirecrank::outbound
