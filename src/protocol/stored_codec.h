#pragma once

#include <nlohmann/json.hpp>

#include "protocol/field_reader.h"
#include "protocol/message.h"

namespace sapphirecrank::protocol {

// Bodies of the messages about stored jobs. Thread safety: pure.

constexpr const char* kRunNotices = "run_notices";
nlohmann::json EncodeBody(const runs::RunEvents& message);
Message DecodeRunNotices(FieldReader& reader);

constexpr const char* kNoticeAnswers = "notice_answers";
nlohmann::json EncodeBody(const runs::RunEventAcknowledgements& message);
Message DecodeNoticeAnswers(FieldReader& reader);

constexpr const char* kJobRequest = "job_request";
nlohmann::json EncodeBody(const stored::JobRequest& message);
Message DecodeJobRequest(FieldReader& reader);

constexpr const char* kJobReply = "job_reply";
nlohmann::json EncodeBody(const stored::JobReply& message);
Message DecodeJobReply(FieldReader& reader);

}  // namespace sapphirecrank::protocol
