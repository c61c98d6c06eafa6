#pragma once

#include <string>

namespace sapphirecrank::configuration {

/// One fault in a settings file.
struct SettingsError {
  /// Where the fault is, for example "peers[2].address"; empty for the whole document.
  std::string path;
  std::string message;
};

}  // namespace sapphirecrank::configuration
