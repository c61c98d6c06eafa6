#pragma once

#include <string>

namespace sapphirecrank::configuration {

/// An error in a settings file.
struct SettingsError {
  /// Path of the faulty field, for example "peers[2].address"; empty for the whole document.
  std::string path;
  std::string message;
};

}  // namespace sapphirecrank::configuration
