#pragma once

#include <functional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "base/result.h"
#include "cli/entry_host_configuration.h"
#include "configuration/settings_error.h"

namespace sapphirecrank::cli {

/// Loads the settings file of an entry host and all files that it names.
///
/// Thread safety: that of the hooks.
class ConfigurationLoader {
 public:
  /// Functions that read files; all must be set.
  struct Hooks {
    std::function<base::Result<std::string>(const std::string& path)> read_file;
    /// Reads a file that other users must not have access to.
    std::function<base::Result<std::string>(const std::string& path)> read_secret_file;
  };

  using Errors = std::vector<configuration::SettingsError>;

  explicit ConfigurationLoader(Hooks hooks);

  /// Returns the configuration, or all errors in the settings file and in the files that it names.
  /// The named files are checked even if the settings are invalid.
  tl::expected<EntryHostConfiguration, Errors> Load(const std::string& path) const;

 private:
  /// Checks that the settings define every team that has a key.
  static void CheckTeamsOfKeys(const EntryHostConfiguration& configuration, Errors& errors);
  void ReadSharedSecret(EntryHostConfiguration& configuration, Errors& errors) const;
  void ReadOperatorTokens(EntryHostConfiguration& configuration, Errors& errors) const;
  void ReadTeamKeys(EntryHostConfiguration& configuration, Errors& errors) const;

  Hooks hooks;
};

}  // namespace sapphirecrank::cli
