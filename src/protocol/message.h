#pragma once

#include <variant>

#include "cluster/cluster_update.h"
#include "cluster/configuration_request.h"
#include "cluster/configuration_response.h"
#include "cluster/join_request.h"
#include "jobs/job_record.h"
#include "jobs/record_ack.h"
#include "protocol/assign_tasks.h"
#include "protocol/cancel_submission.h"
#include "protocol/cancel_tasks.h"
#include "protocol/consensus_message.h"
#include "protocol/forward_announcement.h"
#include "protocol/forward_submission.h"
#include "protocol/heartbeat.h"
#include "protocol/heartbeat_ack.h"
#include "protocol/hello.h"
#include "protocol/hello_ack.h"
#include "protocol/submission_response.h"
#include "protocol/task_results.h"
#include "runs/batch_cancel.h"
#include "runs/batch_recall.h"
#include "runs/batch_result.h"
#include "runs/capacity_report.h"
#include "runs/returned_tasks.h"
#include "runs/run_event_acknowledgements.h"
#include "runs/run_events.h"
#include "runs/target_report.h"
#include "runs/task_batch.h"
#include "stored/job_request.h"
#include "stored/job_response.h"

namespace sapphirecrank::protocol {

/// Any message between two hosts of the dispatcher.
using Message =
    std::variant<Hello, HelloAck, Heartbeat, HeartbeatAck, AssignTasks, TaskResults, CancelTasks,
                 ForwardAnnouncement, ConsensusMessage, jobs::JobRecord, jobs::RecordAck,
                 ForwardSubmission, SubmissionResponse, CancelSubmission, runs::TaskBatch,
                 runs::BatchResult, runs::BatchCancel, runs::CapacityReport, runs::TargetReport,
                 cluster::ClusterUpdate, cluster::ConfigurationRequest,
                 cluster::ConfigurationResponse, cluster::JoinRequest, runs::RunEvents,
                 runs::RunEventAcknowledgements, stored::JobRequest, stored::JobResponse,
                 runs::BatchRecall, runs::ReturnedTasks>;

}  // namespace sapphirecrank::protocol
