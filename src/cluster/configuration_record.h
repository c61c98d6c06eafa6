#pragma once

#include <string>

#include "base/ids.h"

namespace sapphirecrank::cluster {

/// A version of the configuration, with the document as the operator sent it.
struct ConfigurationRecord {
  /// Zero if there is no configuration yet.
  base::Version version;
  std::string document;
};

}  // namespace sapphirecrank::cluster
