#pragma once

#include <string>

namespace sapphirecrank::observability {

/// One named value of a log line.
struct LogField {
  std::string name;
  std::string value;
};

}  // namespace sapphirecrank::observability
