#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"
#include "base/units.h"
#include "protocol/envelope.h"

namespace sapphirecrank::protocol {

/// Largest encoded envelope that is sent or accepted.
constexpr base::ByteCount kMaximumMessageSize{8LL * 1024 * 1024};

/// Version of the encoding; hosts with different versions refuse each other.
constexpr uint32_t kProtocolVersion = 4;

/// Encodes an envelope as CBOR. Thread safety: pure.
std::string EncodeEnvelope(const Envelope& envelope);

/// Decodes CBOR. Input comes from outside: anything malformed, with a missing, unknown-typed or
/// out-of-range field, or too large gives `kInvalidArgument` with the field's name. Thread safety:
/// pure.
base::Result<Envelope> DecodeEnvelope(std::string_view bytes);

}  // namespace sapphirecrank::protocol
