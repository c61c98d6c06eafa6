#pragma once

#include "base/strong_id.h"
#include "base/strong_number.h"

namespace sapphirecrank::base {

using HostId = StrongId<struct HostIdTag>;
using DataCentreId = StrongId<struct DataCentreIdTag>;
using RackId = StrongId<struct RackIdTag>;
using TargetId = StrongId<struct TargetIdTag>;
using TeamId = StrongId<struct TeamIdTag>;
/// The caller's name for work of one sort, to learn run times by.
using TaskKind = StrongId<struct TaskKindTag>;
/// Chosen by the caller; a resubmission repeats it.
using SubmissionId = StrongId<struct SubmissionIdTag>;
/// Chosen by the operator's client; a resend of a configuration change repeats it.
using ChangeId = StrongId<struct ChangeIdTag>;
/// One start of one task on one target; never used twice. Begins with the starting host's prefix.
using AttemptId = StrongId<struct AttemptIdTag>;
/// IP number and port, for example "127.0.0.1:8080".
using NetworkAddress = StrongId<struct NetworkAddressTag>;

/// Something that targets say of themselves, for example their kind of machine.
using LabelId = StrongId<struct LabelIdTag>;
/// A pool of targets that run the same sort of tasks.
using ServiceId = StrongId<struct ServiceIdTag>;
/// A named entrance for jobs, with its own priority and bounds.
using QueueId = StrongId<struct QueueIdTag>;
/// Position of a task in its job, from 0.
using TaskIndex = StrongNumber<struct TaskIndexTag, uint32_t>;
/// Number of an agreed view of a data centre; fences records and assignments of older views.
using Epoch = StrongNumber<struct EpochTag, uint64_t>;
/// Orders the owners of a target: the target does nothing for an owner with a lower token than it
/// has seen.
using FencingToken = StrongNumber<struct FencingTokenTag, uint64_t>;
/// Numbers the starts of one task, from 1.
using RunNumber = StrongNumber<struct RunNumberTag, uint32_t>;
/// Numbers the repetitions of a job, from 0.
using OccurrenceNumber = StrongNumber<struct OccurrenceNumberTag, uint32_t>;
/// Position of a step in its job, from 0.
using StepIndex = StrongNumber<struct StepIndexTag, uint32_t>;
/// Numbers the parts into which a gateway divides one job.
using BatchNumber = StrongNumber<struct BatchNumberTag, uint32_t>;
/// Numbers the requests of one gateway about stored jobs.
using JobRequestNumber = StrongNumber<struct JobRequestNumberTag, uint64_t>;
/// Rank of a queue; 0 comes first.
using Priority = StrongNumber<struct PriorityTag, int32_t>;
/// How often a task may be tried.
using AttemptCount = StrongNumber<struct AttemptCountTag, int32_t>;
/// Election term of a replicated log.
using Term = StrongNumber<struct TermTag, uint64_t>;
/// Position in a replicated log, from 1.
using LogIndex = StrongNumber<struct LogIndexTag, uint64_t>;
/// Version of the configuration, from 1.
using Version = StrongNumber<struct VersionTag, uint64_t>;
/// Number of a message in a link; never used twice by one process.
using SequenceNumber = StrongNumber<struct SequenceNumberTag, uint64_t>;
/// Number of a placement of one task on an entry host; a task that came back "not run" gets the
/// next.
using PlacementNumber = StrongNumber<struct PlacementNumberTag, uint32_t>;
/// Counts the times that a process has begun anew with another host after it had counted it as
/// lost, from 1.
using SessionNumber = StrongNumber<struct SessionNumberTag, uint64_t>;
/// Differs for each start of a process.
using Incarnation = StrongNumber<struct IncarnationTag, uint64_t>;

}  // namespace sapphirecrank::base
