#pragma once

#include <string>

namespace sapphirecrank::cli {

/// The answer of an entry host.
struct HttpReply {
  int status = 0;
  std::string body;
};

}  // namespace sapphirecrank::cli
