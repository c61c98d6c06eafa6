#pragma once

#include <nlohmann/json.hpp>

#include "protocol/field_reader.h"
#include "protocol/message.h"

namespace sapphirecrank::protocol {

// Encoding of the messages about stored jobs. `EncodeMessage` encodes a message with its type;
// decoding faults are recorded in the reader. Thread safety: pure.

constexpr const char* kRunEventsType = "run_notices";
nlohmann::json EncodeMessage(const runs::RunEvents& message);
Message DecodeRunEvents(FieldReader& reader);

constexpr const char* kRunEventAcknowledgementsType = "notice_answers";
nlohmann::json EncodeMessage(const runs::RunEventAcknowledgements& message);
Message DecodeRunEventAcknowledgements(FieldReader& reader);

constexpr const char* kJobRequestType = "job_request";
nlohmann::json EncodeMessage(const stored::JobRequest& message);
Message DecodeJobRequest(FieldReader& reader);

constexpr const char* kJobResponseType = "job_reply";
nlohmann::json EncodeMessage(const stored::JobResponse& message);
Message DecodeJobResponse(FieldReader& reader);

}  // namespace sapphirecrank::protocol
