#pragma once

#include <map>
#include <string>

#include "base/error.h"

namespace sapphirecrank::outbound {

/// The end of one HTTP request.
struct HttpClientResponse {
  /// Zero if no complete answer came; `error` then says why.
  int status = 0;
  std::string body;
  /// By name in lower case.
  std::map<std::string, std::string> headers;
  /// Set if `status` is zero. Its verdict is "not run" only if nothing was sent.
  base::Error error;
};

}  // namespace sapphirecrank::outbound
