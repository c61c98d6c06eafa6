#pragma once

#include <string>

#include "base/ids.h"
#include "cli/command.h"

namespace sapphirecrank::cli {

/// A parsed command line.
struct CommandOptions {
  Command command = Command::kNone;
  /// Help text that is printed instead of running the command; empty if none was requested.
  std::string help_text;
  /// File, submission id or action, if the command takes one.
  std::string positional_argument;
  /// Data centre, if the action is for one.
  std::string data_centre;
  std::string settings_file;
  base::NetworkAddress entry_host;
  /// File with one line NAME:SECRET; empty if no credential is sent.
  std::string credential_file;
  bool prints_json = false;
};

}  // namespace sapphirecrank::cli
