#pragma once

#include <vector>

#include "base/time.h"
#include "dispatch/assignment.h"
#include "dispatch/task_report.h"
#include "protocol/assign_tasks.h"
#include "protocol/heartbeat.h"
#include "protocol/task_results.h"
#include "scheduling/load_summary.h"

namespace sapphirecrank::entryhost {

// Conversions between protocol messages and the types of `dispatch` and `scheduling`. Messages
// carry the time left until a deadline, because monotonic clocks of different processes can't be
// compared. Thread safety: all functions are pure.

protocol::AssignTasks ToMessage(const std::vector<dispatch::Assignment>& tasks,
                                base::TimePoint now);
std::vector<dispatch::Assignment> FromMessage(const protocol::AssignTasks& message,
                                              base::TimePoint now);

protocol::TaskResults ToMessage(const std::vector<dispatch::TaskReport>& reports);
std::vector<dispatch::TaskReport> FromMessage(const protocol::TaskResults& message);

protocol::TargetKindLoad ToMessage(base::TargetKind kind, const scheduling::LoadSummary& load);
scheduling::LoadSummary FromMessage(const protocol::TargetKindLoad& load);

}  // namespace sapphirecrank::entryhost
