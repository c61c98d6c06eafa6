#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"
#include "base/units.h"
#include "protocol/envelope.h"

namespace sapphirecrank::protocol {

/// Maximum size of an encoded envelope that a receiver accepts. `EncodeEnvelope` doesn't check it.
constexpr base::ByteCount kMaximumMessageSize{8LL * 1024 * 1024};

/// Version of the encoding. Hosts with different versions refuse to connect to each other.
constexpr uint32_t kProtocolVersion = 5;

/// Encodes an envelope as CBOR. Thread safety: pure.
std::string EncodeEnvelope(const Envelope& envelope);

/// Decodes CBOR from an untrusted sender. Errors: `kTooLarge` above `kMaximumMessageSize`;
/// `kInvalidArgument` with the name of the field if the message is malformed or of an unknown type,
/// or a field is missing, has another type or is out of range. Thread safety: pure.
base::Result<Envelope> DecodeEnvelope(std::string_view bytes);

}  // namespace sapphirecrank::protocol
