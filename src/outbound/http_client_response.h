#pragma once

#include <map>
#include <string>

#include "base/error.h"

namespace sapphirecrank::outbound {

/// The result of one HTTP request.
struct HttpClientResponse {
  /// HTTP status; zero if there was no complete response, for the reason in `error`.
  int status = 0;
  std::string body;
  /// By name; names are in lower case.
  std::map<std::string, std::string> headers;
  /// Set if `status` is zero. Its verdict is "not run" only if nothing was sent.
  base::Error error;
};

}  // namespace sapphirecrank::outbound
