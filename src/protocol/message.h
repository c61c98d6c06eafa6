#pragma once

#include <variant>

#include "jobs/job_record.h"
#include "jobs/record_ack.h"
#include "protocol/assign_tasks.h"
#include "protocol/cancel_submission.h"
#include "protocol/cancel_tasks.h"
#include "protocol/forward_announcement.h"
#include "protocol/forward_submission.h"
#include "protocol/group_message.h"
#include "protocol/heartbeat.h"
#include "protocol/heartbeat_ack.h"
#include "protocol/hello.h"
#include "protocol/hello_ack.h"
#include "protocol/submission_answer.h"
#include "protocol/task_results.h"

namespace sapphirecrank::protocol {

/// Any message between entry hosts.
using Message =
    std::variant<Hello, HelloAck, Heartbeat, HeartbeatAck, AssignTasks, TaskResults, CancelTasks,
                 ForwardAnnouncement, GroupMessage, jobs::JobRecord, jobs::RecordAck,
                 ForwardSubmission, SubmissionAnswer, CancelSubmission>;

}  // namespace sapphirecrank::protocol
