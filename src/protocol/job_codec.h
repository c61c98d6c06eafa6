#pragma once

#include <nlohmann/json.hpp>

#include "protocol/field_reader.h"
#include "protocol/message.h"

namespace sapphirecrank::protocol {

// Encoding of the messages about jobs. `EncodeMessage` encodes a message with its type; decoding
// faults are recorded in the reader. Thread safety: pure.

constexpr const char* kJobRecordType = "job_record";
nlohmann::json EncodeMessage(const jobs::JobRecord& record);
Message DecodeJobRecord(FieldReader& reader);

constexpr const char* kRecordAckType = "record_ack";
nlohmann::json EncodeMessage(const jobs::RecordAck& ack);
Message DecodeRecordAck(FieldReader& reader);

constexpr const char* kForwardSubmissionType = "forward_submission";
nlohmann::json EncodeMessage(const ForwardSubmission& message);
Message DecodeForwardSubmission(FieldReader& reader);

constexpr const char* kSubmissionResponseType = "submission_answer";
nlohmann::json EncodeMessage(const SubmissionResponse& message);
Message DecodeSubmissionResponse(FieldReader& reader);

constexpr const char* kCancelSubmissionType = "cancel_submission";
nlohmann::json EncodeMessage(const CancelSubmission& message);
Message DecodeCancelSubmission(FieldReader& reader);

}  // namespace sapphirecrank::protocol
