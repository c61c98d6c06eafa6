#pragma once

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace sapphirecrank::outbound {

/// One outgoing HTTP request.
struct HttpClientRequest {
  base::NetworkAddress address;
  std::string method = "POST";
  /// Path with its leading slash.
  std::string path;
  /// Header lines without line ends, for example "Content-Type: application/json".
  std::vector<std::string> headers;
  /// An empty body of a POST is sent as "null", so that libcurl can't send the request again.
  std::string body;
  /// Time limit for the whole request; `kDeadlineExceeded` after that.
  base::Duration timeout{0};
};

}  // namespace sapphirecrank::outbound
