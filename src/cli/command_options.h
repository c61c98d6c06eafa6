#pragma once

#include <string>

#include "base/ids.h"
#include "cli/command.h"

namespace sapphirecrank::cli {

/// What a command line asks for.
struct CommandOptions {
  Command command = Command::kNone;
  /// Not empty if only this help is to be printed.
  std::string help_text;
  /// A file or a submission id, if the command takes one.
  std::string positional_argument;
  std::string settings_file;
  base::NetworkAddress entry_host;
  /// File with one line NAME:SECRET; may be empty.
  std::string credential_file;
  bool prints_json = false;
};

}  // namespace sapphirecrank::cli
