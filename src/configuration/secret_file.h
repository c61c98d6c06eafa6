#pragma once

#include <string>

#include "base/result.h"

namespace sapphirecrank::configuration {

/// Reads a file that holds a secret. Errors name the file: `kNotFound` if it can't be read,
/// `kPermissionDenied` if its group or others have any access to it, `kTooLarge` above 4 MiB,
/// `kInvalidArgument` if it is no regular file or empty. Thread safety: any thread.
base::Result<std::string> ReadSecretFile(const std::string& path);

}  // namespace sapphirecrank::configuration
