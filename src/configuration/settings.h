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

/// Settings of an entry host, read from its settings file.
struct Settings {
  base::HostId host;
  base::DataCentreId data_centre;
  /// Address at which callers, targets and operators connect.
  base::NetworkAddress http_listen_address;
  /// Address at which other entry hosts connect.
  base::NetworkAddress peer_listen_address;
  /// File with the secret that all entry hosts share.
  std::string secret_file;
  /// Folder for the durable state of the host. Empty for a host without a disk, which doesn't vote.
  std::string data_folder;
  HttpSettings http;
  AuthenticationSettings authentication;
  std::vector<PeerSettings> peers;
  std::vector<TeamSettings> teams;
};

/// Parses and validates settings in JSON. Error: `kInvalidArgument`; its message lists all errors
/// with their paths, its field is the path of the first one. Thread safety: pure.
base::Result<Settings> ParseSettings(const std::string& text);

/// Reads a whole file. Error: `kNotFound` with the path in the message if it can't be opened.
/// Thread safety: any thread.
base::Result<std::string> ReadFile(const std::string& path);

}  // namespace sapphirecrank::configuration
