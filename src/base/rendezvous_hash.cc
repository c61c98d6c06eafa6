#include "base/rendezvous_hash.h"

#include <xxhash.h>

namespace sapphirecrank::base {

uint64_t RendezvousScore(std::string_view member, std::string_view key) {
  return XXH3_64bits_withSeed(key.data(), key.size(), XXH3_64bits(member.data(), member.size()));
}

}  // namespace sapphirecrank::base
