#pragma once

#include <string>
#include <vector>

#include "base/result.h"
#include "cli/command_options.h"

namespace sapphirecrank::cli {

/// Reads the arguments that follow the program's name. Errors name the faulty option or argument in
/// the field. Thread safety: pure.
base::Result<CommandOptions> ParseOptions(const std::vector<std::string>& arguments);

}  // namespace sapphirecrank::cli
