#pragma once

#include <variant>

#include "protocol/assign_tasks.h"
#include "protocol/cancel_tasks.h"
#include "protocol/forward_announcement.h"
#include "protocol/heartbeat.h"
#include "protocol/heartbeat_ack.h"
#include "protocol/hello.h"
#include "protocol/hello_ack.h"
#include "protocol/task_results.h"

namespace sapphirecrank::protocol {

/// Any message between entry hosts.
using Message = std::variant<Hello, HelloAck, Heartbeat, HeartbeatAck, AssignTasks, TaskResults,
                             CancelTasks, ForwardAnnouncement>;

}  // namespace sapphirecrank::protocol
