#pragma once

#include <nlohmann/json.hpp>

#include "cluster/cluster_update.h"
#include "cluster/configuration_request.h"
#include "cluster/configuration_response.h"
#include "cluster/join_request.h"
#include "protocol/field_reader.h"
#include "protocol/message.h"
#include "runs/batch_cancel.h"
#include "runs/batch_recall.h"
#include "runs/batch_result.h"
#include "runs/capacity_report.h"
#include "runs/returned_tasks.h"
#include "runs/target_report.h"
#include "runs/task_batch.h"

namespace sapphirecrank::protocol {

// Encoding of the messages between gateways and allocators. `EncodeMessage` encodes a message with
// its type; decoding faults are recorded in the reader. Thread safety: pure.

constexpr const char* kTaskBatchType = "task_part";
nlohmann::json EncodeMessage(const runs::TaskBatch& message);
Message DecodeTaskBatch(FieldReader& reader);

constexpr const char* kBatchResultType = "part_end";
nlohmann::json EncodeMessage(const runs::BatchResult& message);
Message DecodeBatchResult(FieldReader& reader);

constexpr const char* kBatchCancelType = "part_cancel";
nlohmann::json EncodeMessage(const runs::BatchCancel& message);
Message DecodeBatchCancel(FieldReader& reader);

constexpr const char* kBatchRecallType = "part_recall";
nlohmann::json EncodeMessage(const runs::BatchRecall& message);
Message DecodeBatchRecall(FieldReader& reader);

constexpr const char* kReturnedTasksType = "tasks_returned";
nlohmann::json EncodeMessage(const runs::ReturnedTasks& message);
Message DecodeReturnedTasks(FieldReader& reader);

constexpr const char* kCapacityReportType = "room_report";
nlohmann::json EncodeMessage(const runs::CapacityReport& message);
Message DecodeCapacityReport(FieldReader& reader);

constexpr const char* kTargetReportType = "target_report";
nlohmann::json EncodeMessage(const runs::TargetReport& message);
Message DecodeTargetReport(FieldReader& reader);

constexpr const char* kClusterUpdateType = "cluster_update";
nlohmann::json EncodeMessage(const cluster::ClusterUpdate& message);
Message DecodeClusterUpdate(FieldReader& reader);

constexpr const char* kConfigurationRequestType = "configuration_request";
nlohmann::json EncodeMessage(const cluster::ConfigurationRequest& message);
Message DecodeConfigurationRequest(FieldReader& reader);

constexpr const char* kConfigurationResponseType = "configuration_response";
nlohmann::json EncodeMessage(const cluster::ConfigurationResponse& message);
Message DecodeConfigurationResponse(FieldReader& reader);

constexpr const char* kJoinRequestType = "join_request";
nlohmann::json EncodeMessage(const cluster::JoinRequest& message);
Message DecodeJoinRequest(FieldReader& reader);

}  // namespace sapphirecrank::protocol
