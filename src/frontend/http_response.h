#pragma once

#include <map>
#include <string>

namespace sapphirecrank::frontend {

/// The answer to one HTTP request.
struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  /// Further headers.
  std::map<std::string, std::string> headers;
};

}  // namespace sapphirecrank::frontend
