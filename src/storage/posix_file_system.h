#pragma once

#include "storage/file_system.h"

namespace sapphirecrank::storage {

/// Returns hooks that use the POSIX file functions of the operating system. Thread safety: the
/// hooks may be called from any thread.
FileSystem MakePosixFileSystem();

}  // namespace sapphirecrank::storage
