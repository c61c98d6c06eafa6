#pragma once

#include <cstdint>
#include <string_view>

namespace sapphirecrank::base {

/// Returns the rendezvous score of `member` for `key`; the member with the highest score owns the
/// key. The score is the same in every process and build. Thread safety: pure.
uint64_t RendezvousScore(std::string_view member, std::string_view key);

}  // namespace sapphirecrank::base
