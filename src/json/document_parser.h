#pragma once

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace sapphirecrank::json {

/// Parses JSON text from an untrusted source. Returns a discarded value if the text is malformed,
/// contains a number that can't be represented, or is nested more than 64 levels deep. Thread
/// safety: pure.
nlohmann::json ParseDocument(std::string_view text);

/// Returns an upper bound of the bytes that `ParseDocument` allocates for `text`, which may be
/// malformed. The bounds of the pieces of a text add up to that of the text. Thread safety: pure.
size_t EstimateDocumentSize(std::string_view text);

}  // namespace sapphirecrank::json
