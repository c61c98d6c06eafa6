#pragma once

#include <nlohmann/json.hpp>

#include "protocol/field_reader.h"
#include "protocol/message.h"

namespace sapphirecrank::protocol {

// Encoding of Raft messages. Thread safety: pure.

constexpr const char* kConsensusMessageType = "group_message";

/// Encodes a message with its type.
nlohmann::json EncodeMessage(const ConsensusMessage& message);

/// Decodes the message; faults are recorded in `reader`.
Message DecodeConsensusMessage(FieldReader& reader);

}  // namespace sapphirecrank::protocol
