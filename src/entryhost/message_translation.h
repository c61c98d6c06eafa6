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

// Translation between decisions and messages. Deadlines travel as time left, because monotonic
// clocks can't be compared between processes. Thread safety: all pure.

protocol::AssignTasks ToMessage(const std::vector<dispatch::Assignment>& tasks,
                                base::TimePoint now);
std::vector<dispatch::Assignment> FromMessage(const protocol::AssignTasks& message,
                                              base::TimePoint now);

protocol::TaskResults ToMessage(const std::vector<dispatch::TaskReport>& reports);
std::vector<dispatch::TaskReport> FromMessage(const protocol::TaskResults& message);

protocol::TargetKindLoad ToMessage(base::TargetKind kind, const scheduling::LoadSummary& load);
scheduling::LoadSummary FromMessage(const protocol::TargetKindLoad& load);

}  // namespace sapphirecrank::entryhost
