#pragma once

#include <map>
#include <string>

namespace sapphirecrank::frontend {

/// The response to one HTTP request.
struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  /// Further headers by name.
  std::map<std::string, std::string> headers;
};

}  // namespace sapphirecrank::frontend
