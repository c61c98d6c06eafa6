#pragma once

#include <string>

#include "base/result.h"

namespace sapphirecrank::configuration {

/// Reads a file that holds a secret. Errors, with the path in the message: `kNotFound` if the file
/// can't be read, `kPermissionDenied` if its group or others have any permission, `kTooLarge` above
/// 4 MiB, `kInvalidArgument` if it is empty or not a regular file. Thread safety: any thread.
base::Result<std::string> ReadSecretFile(const std::string& path);

}  // namespace sapphirecrank::configuration
