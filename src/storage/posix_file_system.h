#pragma once

#include "storage/file_system.h"

namespace sapphirecrank::storage {

/// Returns the operating system's files. Thread safety: the hooks may be called from any thread.
FileSystem MakePosixFileSystem();

}  // namespace sapphirecrank::storage
