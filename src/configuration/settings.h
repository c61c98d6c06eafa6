#pragma once

#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "configuration/authentication_settings.h"
#include "configuration/http_settings.h"
#include "configuration/peer_settings.h"
#include "configuration/team_settings.h"

namespace sapphirecrank::configuration {

/// What a process of the system learns from its settings file.
struct Settings {
  base::HostId host;
  base::DataCentreId data_centre;
  /// Where callers, targets and operators connect.
  base::NetworkAddress http_listen_address;
  /// Where other entry hosts connect.
  base::NetworkAddress peer_listen_address;
  /// File with the secret that all entry hosts share.
  std::string secret_file;
  /// Folder for the host's state; empty for a host without a disk, which doesn't vote.
  std::string data_folder;
  HttpSettings http;
  AuthenticationSettings authentication;
  std::vector<PeerSettings> peers;
  std::vector<TeamSettings> teams;
};

/// Reads settings from JSON text. The error's message lists all faults with their paths, its field
/// is that of the first one. Thread safety: pure.
base::Result<Settings> ParseSettings(const std::string& text);

/// Reads a whole file. Errors: `kNotFound` with the file's name.
base::Result<std::string> ReadFile(const std::string& path);

}  // namespace sapphirecrank::configuration
