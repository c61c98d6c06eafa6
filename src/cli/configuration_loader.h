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
/// Thread safety: as the hooks.
class ConfigurationLoader {
 public:
  /// Behaviour handed in; all members must be set.
  struct Hooks {
    std::function<base::Result<std::string>(const std::string& path)> read_file;
    /// Reads a file that others must have no access to.
    std::function<base::Result<std::string>(const std::string& path)> read_secret_file;
  };

  using Errors = std::vector<configuration::SettingsError>;

  explicit ConfigurationLoader(Hooks hooks);

  /// Returns the configuration, or all its faults, also those of the files that faulty settings
  /// name.
  tl::expected<EntryHostConfiguration, Errors> Load(const std::string& path) const;

 private:
  /// Checks that all teams with keys are among the teams of the settings.
  static void CheckTeamsOfKeys(const EntryHostConfiguration& configuration, Errors& faults);
  void ReadSharedSecret(EntryHostConfiguration& configuration, Errors& faults) const;
  void ReadOperatorTokens(EntryHostConfiguration& configuration, Errors& faults) const;
  void ReadTeamKeys(EntryHostConfiguration& configuration, Errors& faults) const;

  Hooks hooks;
};

}  // namespace sapphirecrank::cli
