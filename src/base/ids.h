#pragma once

#include "base/strong_id.h"
#include "base/strong_number.h"

namespace sapphirecrank::base {

using HostId = StrongId<struct HostIdTag>;
using DataCentreId = StrongId<struct DataCentreIdTag>;
using RackId = StrongId<struct RackIdTag>;
using TargetId = StrongId<struct TargetIdTag>;
using TeamId = StrongId<struct TeamIdTag>;
/// The caller's name for tasks of one kind; run times are estimated for each kind.
using TaskKind = StrongId<struct TaskKindTag>;
/// Chosen by the caller; a resubmission uses the same id.
using SubmissionId = StrongId<struct SubmissionIdTag>;
/// Chosen by the operator's client; a configuration change that is sent again uses the same id.
using ChangeId = StrongId<struct ChangeIdTag>;
/// Identifies one start of one task on one target; never reused. Begins with the prefix of the host
/// that starts the task.
using AttemptId = StrongId<struct AttemptIdTag>;
/// IP address and port, for example "127.0.0.1:8080".
using NetworkAddress = StrongId<struct NetworkAddressTag>;

/// A property that a target reports about itself, for example its machine type.
using LabelId = StrongId<struct LabelIdTag>;
/// A pool of targets that run the same kind of tasks.
using ServiceId = StrongId<struct ServiceIdTag>;
/// A named queue for jobs, with its own priority and limits.
using QueueId = StrongId<struct QueueIdTag>;
/// Position of a task in its job, from 0.
using TaskIndex = StrongNumber<struct TaskIndexTag, uint32_t>;
/// Number of an agreed membership view of a data centre; records and assignments of older views are
/// fenced.
using Epoch = StrongNumber<struct EpochTag, uint64_t>;
/// Orders the owners of a target: the target ignores an owner whose token is lower than the highest
/// that it has seen.
using FencingToken = StrongNumber<struct FencingTokenTag, uint64_t>;
/// Numbers the starts of one task, from 1.
using RunNumber = StrongNumber<struct RunNumberTag, uint32_t>;
/// Numbers the repetitions of a job, from 0.
using OccurrenceNumber = StrongNumber<struct OccurrenceNumberTag, uint32_t>;
/// Position of a step in its job, from 0.
using StepIndex = StrongNumber<struct StepIndexTag, uint32_t>;
/// Numbers the batches of tasks into which one job is divided.
using BatchNumber = StrongNumber<struct BatchNumberTag, uint32_t>;
/// Numbers the requests of one gateway about stored jobs.
using JobRequestNumber = StrongNumber<struct JobRequestNumberTag, uint64_t>;
/// Priority of a queue; 0 is the highest.
using Priority = StrongNumber<struct PriorityTag, int32_t>;
/// Number of attempts at one task.
using AttemptCount = StrongNumber<struct AttemptCountTag, int32_t>;
/// Election term of a replicated log.
using Term = StrongNumber<struct TermTag, uint64_t>;
/// Position in a replicated log, from 1.
using LogIndex = StrongNumber<struct LogIndexTag, uint64_t>;
/// Version of the configuration, from 1.
using Version = StrongNumber<struct VersionTag, uint64_t>;
/// Number of changes to the set of evacuated data centres.
using EvacuationRevision = StrongNumber<struct EvacuationRevisionTag, uint64_t>;
/// Number that a process gives to each message, record, report or heartbeat round; never used twice
/// by one process for things of one kind.
using SequenceNumber = StrongNumber<struct SequenceNumberTag, uint64_t>;
/// Number of a placement of one task on an entry host; a task that was returned with "not run" gets
/// the next number.
using PlacementNumber = StrongNumber<struct PlacementNumberTag, uint32_t>;
/// Number of a session of a process with another host, from 1. A new session begins after the other
/// host was considered lost.
using SessionNumber = StrongNumber<struct SessionNumberTag, uint64_t>;
/// Number of the sessions of two hosts with each other, counted by one of them. It increases when
/// either host has ended the present session.
using SessionEpoch = StrongNumber<struct SessionEpochTag, uint64_t>;
/// Identifies one start of a process; each start has another value.
using Incarnation = StrongNumber<struct IncarnationTag, uint64_t>;

}  // namespace sapphirecrank::base
