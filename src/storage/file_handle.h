#pragma once

#include <cstdint>

#include "base/strong_number.h"

namespace sapphirecrank::storage {

/// An open file of a `FileSystem`.
using FileHandle = base::StrongNumber<struct FileHandleTag, int32_t>;

}  // namespace sapphirecrank::storage
