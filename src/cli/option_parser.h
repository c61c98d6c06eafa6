#pragma once

#include <string>
#include <vector>

#include "base/result.h"
#include "cli/command_options.h"

namespace sapphirecrank::cli {

/// Parses the arguments that follow the program's name. Error: `kInvalidArgument`; its field names
/// the invalid option or argument. Thread safety: pure.
base::Result<CommandOptions> ParseOptions(const std::vector<std::string>& arguments);

}  // namespace sapphirecrank::cli
