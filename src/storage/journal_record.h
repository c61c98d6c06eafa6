#pragma once

#include <cstdint>
#include <string>

namespace sapphirecrank::storage {

/// A record of a journal. The journal doesn't interpret its type and payload.
struct JournalRecord {
  uint32_t type = 0;
  std::string payload;
};

}  // namespace sapphirecrank::storage
