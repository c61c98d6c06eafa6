#pragma once

#include <string>

namespace sapphirecrank::cli {

/// The HTTP response of an entry host.
struct HttpClientResponse {
  int status = 0;
  std::string body;
};

}  // namespace sapphirecrank::cli
