#pragma once

#include <string>

#include "base/ids.h"
#include "base/time.h"

namespace sapphirecrank::cli {

/// One HTTP request to an entry host.
struct HttpClientRequest {
  base::NetworkAddress entry_host;
  std::string method = "GET";
  std::string path;
  std::string body;
  /// NAME:SECRET, or empty.
  std::string credential;
  /// Repeats the request at the address that a redirect names, up to three times.
  bool follows_redirects = false;
  /// Time limit for the whole request.
  base::Duration timeout = std::chrono::seconds(10);
};

}  // namespace sapphirecrank::cli
