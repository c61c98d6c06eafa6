#include "protocol/message_codec.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using protocol::AssignTasks;
using protocol::DecodeEnvelope;
using protocol::EncodeEnvelope;
using protocol::Envelope;

namespace {

Envelope MakeEnvelope(const std::string& payload) {
  protocol::AssignedTask task;
  task.key = {base::SubmissionId("ba:1"), base::TaskIndex(199)};
  task.placement = base::PlacementNumber(2);
  task.team = base::TeamId("tags");
  task.kind = base::TaskKind("check");
  task.declared_resources.memory = base::ByteCount(1 << 30);
  task.time_until_deadline = std::chrono::milliseconds(1500);
  task.payload = payload;
  return {base::SequenceNumber(7), base::SequenceNumber(5), base::SessionNumber(4),
          AssignTasks{base::Epoch(3), {task}}};
}

consensus::RaftMessage MakeRaftMessage(consensus::RaftMessage::Body body) {
  return {base::HostId("a"), base::HostId("b"), base::Term(2), std::move(body)};
}

}  // namespace

TEST_GROUP(MessageCodec){};

// Guards against a payload that changes on its way to the target, even if it isn't valid text.
TEST(MessageCodec, AssignedTasksSurviveEncoding) {
  const std::string payload("\x00\xff{\"a\":1}", 9);
  const auto decoded = DecodeEnvelope(EncodeEnvelope(MakeEnvelope(payload)));
  CHECK_TRUE(decoded.has_value());
  LONGS_EQUAL(7, decoded->sequence_number.value());
  LONGS_EQUAL(5, decoded->acknowledged_up_to.value());
  const auto& message = std::get<AssignTasks>(decoded->message);
  LONGS_EQUAL(1, message.tasks.size());
  CHECK(message.tasks[0].payload == payload);
  CHECK(message.tasks[0].key.index == base::TaskIndex(199));
  CHECK(message.tasks[0].time_until_deadline == std::chrono::milliseconds(1500));
}

// Guards against a message type that can be encoded but not decoded.
TEST(MessageCodec, EveryMessageTypeSurvivesEncoding) {
  const std::vector<protocol::Message> messages = {
      protocol::Hello{1, base::HostId("a"), base::DataCentreId("d"), base::Incarnation(~0ULL),
                      base::NetworkAddress("10.0.0.1:7000"), "s"},
      protocol::HelloAck{},
      protocol::Heartbeat{base::SequenceNumber(1), true, {protocol::TargetKindLoad{}}},
      protocol::HeartbeatAck{},
      protocol::TaskResults{{protocol::TaskResult{}}},
      protocol::CancelTasks{base::SubmissionId("x")},
      protocol::ForwardAnnouncement{},
      protocol::ConsensusMessage{MakeRaftMessage(consensus::VoteRequest{})},
      protocol::ConsensusMessage{MakeRaftMessage(consensus::VoteResponse{})},
      protocol::ConsensusMessage{MakeRaftMessage(consensus::AppendRequest{})},
      protocol::ConsensusMessage{MakeRaftMessage(consensus::AppendResponse{})},
      protocol::ConsensusMessage{MakeRaftMessage(consensus::SnapshotChunk{})},
      protocol::ConsensusMessage{MakeRaftMessage(consensus::SnapshotResponse{})},
      protocol::ConsensusMessage{MakeRaftMessage(consensus::TimeoutNow{})},
      jobs::JobRecord{},
      jobs::RecordAck{},
      protocol::ForwardSubmission{},
      protocol::SubmissionResponse{},
      protocol::CancelSubmission{},
      runs::TaskBatch{},
      runs::BatchResult{},
      runs::BatchCancel{},
      runs::BatchRecall{},
      runs::ReturnedTasks{},
      runs::CapacityReport{
          base::DataCentreId("d"), true, false, {runs::CapacityReport::ServiceCapacity{}}},
      runs::TargetReport{},
      cluster::ClusterUpdate{},
      cluster::ConfigurationRequest{},
      cluster::ConfigurationResponse{},
      cluster::JoinRequest{},
      runs::RunEvents{},
      runs::RunEventAcknowledgements{},
      stored::JobRequest{},
      stored::JobResponse{}};
  for (const protocol::Message& message : messages) {
    const auto decoded = DecodeEnvelope(EncodeEnvelope(
        {base::SequenceNumber(0), base::SequenceNumber(0), base::SessionNumber(4), message}));
    CHECK_TRUE(decoded.has_value());
    LONGS_EQUAL(message.index(), decoded->message.index());
  }
}

// Guards against an envelope's sequence number that overwrites the heartbeat's own one:
// acknowledgements could not be matched with heartbeats.
TEST(MessageCodec, HeartbeatsKeepTheirSequenceNumber) {
  const auto decoded_heartbeat = DecodeEnvelope(
      EncodeEnvelope({base::SequenceNumber(1), base::SequenceNumber(2), base::SessionNumber(3),
                      protocol::Heartbeat{base::SequenceNumber(8), false, {}}}));
  CHECK(std::get<protocol::Heartbeat>(decoded_heartbeat->message).sequence_number ==
        base::SequenceNumber(8));
  const auto decoded_ack = DecodeEnvelope(
      EncodeEnvelope({base::SequenceNumber(1), base::SequenceNumber(2), base::SessionNumber(3),
                      protocol::HeartbeatAck{base::SequenceNumber(8)}}));
  CHECK(std::get<protocol::HeartbeatAck>(decoded_ack->message).sequence_number ==
        base::SequenceNumber(8));
  CHECK(decoded_ack->sequence_number == base::SequenceNumber(1));
  CHECK(decoded_ack->acknowledged_up_to == base::SequenceNumber(2));
  CHECK(decoded_ack->session_number == base::SessionNumber(3));
}

// Guards against a receiver that can't tell for which of its sessions a message was sent, and
// against a host that refuses the envelopes of an earlier program version, which don't say it.
TEST(MessageCodec, EnvelopesNameTheSessionOfTheReceiver) {
  protocol::Envelope envelope{base::SequenceNumber(1), base::SequenceNumber(2),
                              base::SessionNumber(3), protocol::HeartbeatAck{}};
  CHECK_FALSE(DecodeEnvelope(EncodeEnvelope(envelope))->receiver_session_number.has_value());
  envelope.receiver_session_number = base::SessionNumber(5);
  CHECK(DecodeEnvelope(EncodeEnvelope(envelope))->receiver_session_number ==
        base::SessionNumber(5));
}

// Guards against tasks that start with other resources, limits or payloads than their gateway sent.
TEST(MessageCodec, TaskBatchesSurviveEncoding) {
  runs::TaskBatch batch;
  batch.key = {base::HostId("g"), base::SubmissionId("job"), base::BatchNumber(3)};
  batch.service = base::ServiceId("s");
  batch.priority = base::Priority(2);
  batch.maximum_attempts = base::AttemptCount(4);
  batch.payload = std::string("\x00\xff", 2);
  batch.wait_limit = std::chrono::milliseconds(15);
  batch.waited = std::chrono::milliseconds(16);
  batch.time_left = std::chrono::milliseconds(1500);
  batch.is_stored = true;
  batch.first_run_number = base::RunNumber(65);
  batch.placement_rule = {base::LabelId("b"), base::TaskCount(2)};
  batch.tasks = {
      {{batch.key.job, base::OccurrenceNumber(1), base::StepIndex(2), base::TaskIndex(5)},
       {base::MilliCores(6800), base::ByteCount(64), base::AcceleratorCount(1)}}};
  const auto decoded = DecodeEnvelope(EncodeEnvelope(
      {base::SequenceNumber(1), base::SequenceNumber(0), base::SessionNumber(4), batch}));
  CHECK_TRUE(decoded.has_value());
  const auto& copy = std::get<runs::TaskBatch>(decoded->message);
  CHECK(copy.key == batch.key);
  CHECK(copy.maximum_attempts == batch.maximum_attempts);
  CHECK(copy.payload == batch.payload);
  CHECK(copy.wait_limit == batch.wait_limit);
  CHECK(copy.waited == batch.waited);
  CHECK(copy.is_stored);
  CHECK(copy.first_run_number == batch.first_run_number);
  CHECK(copy.placement_rule.required_label == batch.placement_rule.required_label);
  CHECK(copy.placement_rule.maximum_tasks_per_target ==
        batch.placement_rule.maximum_tasks_per_target);
  CHECK(copy.time_left == batch.time_left);
  CHECK(copy.tasks[0].key == batch.tasks[0].key);
  CHECK(copy.tasks[0].required_resources == batch.tasks[0].required_resources);
}

// Guards against tasks that a gateway places again with a run number that their targets refuse, and
// against a refusal that wrongly says "not run".
TEST(MessageCodec, ReturnedTasksSurviveEncoding) {
  runs::ReturnedTasks returned;
  returned.key = {base::HostId("g"), base::SubmissionId("job"), base::BatchNumber(3)};
  returned.tasks = {
      {{returned.key.job, base::OccurrenceNumber(1), base::StepIndex(2), base::TaskIndex(5)},
       base::RunNumber(7)}};
  returned.is_batch_ended = true;
  returned.may_have_run = true;
  returned.reason = "evacuated";
  const auto decoded = DecodeEnvelope(EncodeEnvelope(
      {base::SequenceNumber(1), base::SequenceNumber(0), base::SessionNumber(4), returned}));
  CHECK_TRUE(decoded.has_value());
  const auto& copy = std::get<runs::ReturnedTasks>(decoded->message);
  CHECK(copy.key == returned.key);
  LONGS_EQUAL(1, copy.tasks.size());
  CHECK(copy.tasks[0].key == returned.tasks[0].key);
  CHECK(copy.tasks[0].next_run == base::RunNumber(7));
  CHECK_TRUE(copy.is_batch_ended);
  CHECK_TRUE(copy.may_have_run);
  CHECK(copy.reason == returned.reason);
}

// Guards against batches that are returned to a gateway, or recalled from an allocator, whose
// program version can't decode the message, during a rolling update.
TEST(MessageCodec, HostsOfEarlierVersionsTakeNoReturnedTasksAndNoRecalls) {
  const auto without_field = [](const protocol::Message& message, const char* field) {
    nlohmann::json map = nlohmann::json::from_cbor(EncodeEnvelope(
        {base::SequenceNumber(1), base::SequenceNumber(0), base::SessionNumber(4), message}));
    LONGS_EQUAL(1, map.erase(field));
    const std::vector<uint8_t> earlier = nlohmann::json::to_cbor(map);
    return DecodeEnvelope(std::string(earlier.begin(), earlier.end()));
  };
  runs::TaskBatch batch;
  batch.can_be_returned = true;
  const auto decoded_batch = without_field(batch, "returnable");
  CHECK_TRUE(decoded_batch.has_value());
  CHECK_FALSE(std::get<runs::TaskBatch>(decoded_batch->message).can_be_returned);
  runs::CapacityReport report;
  report.accepts_recalls = true;
  const auto decoded_report = without_field(report, "recalls");
  CHECK_TRUE(decoded_report.has_value());
  CHECK_FALSE(std::get<runs::CapacityReport>(decoded_report->message).accepts_recalls);
}

// Guards against blocked tasks that count for others than those of their kind.
TEST(MessageCodec, BlockedTasksSurviveEncoding) {
  runs::CapacityReport report;
  report.service_capacities.emplace_back();
  report.service_capacities[0].blocked_tasks = {
      {{base::LabelId("b"), {base::MilliCores(1), base::ByteCount(2), base::AcceleratorCount(3)}},
       base::TaskCount(4),
       {{base::Priority(5), base::TaskCount(6)}}}};
  const auto decoded = DecodeEnvelope(EncodeEnvelope(
      {base::SequenceNumber(1), base::SequenceNumber(0), base::SessionNumber(4), report}));
  CHECK(std::get<runs::CapacityReport>(decoded->message) == report);
}

// Guards against run events that are acknowledged for another run or with another kind.
TEST(MessageCodec, RunEventsSurviveEncoding) {
  runs::RunEvent event;
  event.service = base::ServiceId("s");
  event.target = base::TargetId("t");
  event.target_incarnation = base::Incarnation(~0ULL);
  event.end_sequence_number = base::SequenceNumber(8);
  event.key = {{base::SubmissionId("job"), base::OccurrenceNumber(1), base::StepIndex(2),
                base::TaskIndex(5)},
               base::RunNumber(65)};
  event.kind = runs::RunEvent::Kind::kReturned;
  event.is_run_gone = true;
  const auto decoded = DecodeEnvelope(
      EncodeEnvelope({base::SequenceNumber(1), base::SequenceNumber(0), base::SessionNumber(4),
                      runs::RunEventAcknowledgements{{event}, {event, event}}}));
  CHECK_TRUE(decoded.has_value());
  const auto& copy = std::get<runs::RunEventAcknowledgements>(decoded->message);
  LONGS_EQUAL(1, copy.acknowledged.size());
  LONGS_EQUAL(2, copy.superseded.size());
  CHECK(copy.acknowledged[0].service == event.service);
  CHECK(copy.acknowledged[0].target == event.target);
  CHECK(copy.acknowledged[0].target_incarnation == event.target_incarnation);
  CHECK(copy.acknowledged[0].end_sequence_number == event.end_sequence_number);
  CHECK(copy.acknowledged[0].key == event.key);
  CHECK(copy.acknowledged[0].kind == event.kind);
  CHECK_TRUE(copy.acknowledged[0].is_run_gone);
}

// Guards against rejecting run events of the program version before the field "gone" during a
// rolling update, and against taking their runs for gone.
TEST(MessageCodec, ReadsRunEventsOfEarlierVersions) {
  runs::RunEvent event;
  event.kind = runs::RunEvent::Kind::kReturned;
  event.is_run_gone = true;
  const std::string encoded = EncodeEnvelope({base::SequenceNumber(1), base::SequenceNumber(0),
                                              base::SessionNumber(4), runs::RunEvents{{event}}});
  nlohmann::json message = nlohmann::json::from_cbor(encoded);
  LONGS_EQUAL(1, message.at("notices").at(0).erase("gone"));
  const std::vector<uint8_t> earlier = nlohmann::json::to_cbor(message);
  const auto decoded = DecodeEnvelope(std::string(earlier.begin(), earlier.end()));
  CHECK_TRUE(decoded.has_value());
  const auto& copy = std::get<runs::RunEvents>(decoded->message);
  LONGS_EQUAL(1, copy.events.size());
  CHECK(copy.events[0].kind == runs::RunEvent::Kind::kReturned);
  CHECK_FALSE(copy.events[0].is_run_gone);
}

// Guards against a configuration that changes on its way to the gateways.
TEST(MessageCodec, ConfigurationsSurviveEncoding) {
  const cluster::ConfigurationResponse response{{base::Version(9), "document"}};
  const auto decoded = DecodeEnvelope(EncodeEnvelope(
      {base::SequenceNumber(1), base::SequenceNumber(0), base::SessionNumber(4), response}));
  CHECK_TRUE(decoded.has_value());
  const auto& copy = std::get<cluster::ConfigurationResponse>(decoded->message);
  CHECK(copy.configuration.version == base::Version(9));
  STRCMP_EQUAL("document", copy.configuration.document.c_str());
}

// Guards against a version or view that changes on its way to the gateways.
TEST(MessageCodec, ClusterUpdatesSurviveEncoding) {
  cluster::ClusterUpdate update;
  update.configuration_version = base::Version(9);
  update.view = {base::Epoch(4),
                 {{base::HostId("a"), base::Incarnation(~0ULL), base::DataCentreId("x")}}};
  update.allocator_addresses = {base::NetworkAddress("10.0.0.1:7")};
  const auto decoded = DecodeEnvelope(EncodeEnvelope(
      {base::SequenceNumber(1), base::SequenceNumber(0), base::SessionNumber(4), update}));
  CHECK_TRUE(decoded.has_value());
  const auto& copy = std::get<cluster::ClusterUpdate>(decoded->message);
  CHECK(copy.configuration_version == base::Version(9));
  CHECK(copy.view.epoch == base::Epoch(4));
  CHECK(copy.view.members == update.view.members);
  CHECK(copy.allocator_addresses == update.allocator_addresses);
}

// Guards against log entries that change on their way between voters.
TEST(MessageCodec, LogEntriesSurviveEncoding) {
  consensus::LogEntry entry;
  entry.index = base::LogIndex(~0ULL);
  entry.term = base::Term(3);
  entry.kind = consensus::LogEntry::Kind::kMembership;
  entry.command = std::string("\x00\xff", 2);
  entry.membership.voters = {base::HostId("a"), base::HostId("b")};
  entry.membership.learners = {base::HostId("c")};
  consensus::AppendRequest request;
  // A voter is being replaced by the second entry, and isn't by the first one.
  consensus::LogEntry replacement = entry;
  replacement.membership.outgoing_voters = {base::HostId("a"), base::HostId("d")};
  request.entries = {entry, replacement};
  request.confirmed_freshness_token = {base::Incarnation(9),
                                       base::TimePoint(std::chrono::seconds(7))};
  const auto decoded = DecodeEnvelope(
      EncodeEnvelope({base::SequenceNumber(0), base::SequenceNumber(0), base::SessionNumber(4),
                      protocol::ConsensusMessage{MakeRaftMessage(request)}}));
  CHECK_TRUE(decoded.has_value());
  const auto& body = std::get<consensus::AppendRequest>(
      std::get<protocol::ConsensusMessage>(decoded->message).raft_message.body);
  CHECK(body.entries == request.entries);
  CHECK(body.confirmed_freshness_token == request.confirmed_freshness_token);
}

// Guards against a backup whose copy of a job differs from the job that the owner accepted. After a
// failover, the new owner would start other tasks, or start tasks a second time.
TEST(MessageCodec, JobRecordsSurviveEncoding) {
  auto submission = std::make_shared<jobs::Submission>();
  submission->id = base::SubmissionId("ba:1-1");
  submission->team = base::TeamId("tags");
  submission->time_left = std::chrono::seconds(3);
  submission->tasks = {{base::TaskKind("check"), std::string("\x00{", 2), {}, {}, true}};
  jobs::JobRecord record;
  record.epoch = base::Epoch(4);
  record.owner = {base::HostId("a"), base::Incarnation(~0ULL)};
  record.ownership_sequence_number = base::SequenceNumber(5);
  record.id = submission->id;
  record.submission = submission;
  record.started_tasks = {base::TaskIndex(0), base::TaskIndex(199)};
  record.task_results = {{base::TaskIndex(1), base::ExecutionVerdict::kRan, true, "x"}};
  const auto decoded = DecodeEnvelope(EncodeEnvelope(
      {base::SequenceNumber(1), base::SequenceNumber(0), base::SessionNumber(4), record}));
  CHECK_TRUE(decoded.has_value());
  const auto& copy = std::get<jobs::JobRecord>(decoded->message);
  CHECK(copy.owner == record.owner);
  CHECK(copy.started_tasks == record.started_tasks);
  CHECK(jobs::ContentHash(*copy.submission) == jobs::ContentHash(*submission));
  CHECK(copy.submission->time_left == submission->time_left);
  CHECK(copy.task_results.at(0).body == "x");
}

// Guards against a stack overflow caused by nested arrays from an unauthenticated connection.
TEST(MessageCodec, DeepNestingIsRefused) {
  CHECK_FALSE(DecodeEnvelope(std::string(4UL * 1024 * 1024, '\x81')).has_value());
}

// Guards against a single message with an impossible array or map size, which ended the process
// with an exception. The property test below found it with seed 5880425218946443369.
TEST(MessageCodec, ImpossibleContainerSizesAreRefused) {
  const std::string size(8, '\x6c');
  CHECK_FALSE(DecodeEnvelope("\x9b" + size).has_value());
  CHECK_FALSE(DecodeEnvelope("\xbb" + size).has_value());
  CHECK_FALSE(DecodeEnvelope("\xa1\x61\x61\x9b" + size).has_value());
}

// Guards against a crash on corrupted or truncated bytes, and against an error that names no field.
TEST(MessageCodec, CorruptedBytesDoNotCrash) {
  const bool holds = rc::check([] {
    std::string bytes = EncodeEnvelope(MakeEnvelope("{}"));
    const auto change_count = *rc::gen::inRange(1, 8);
    for (int i = 0; i < change_count; ++i) {
      bytes[*rc::gen::inRange<size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    }
    bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size() + 1));
    const auto decoded = DecodeEnvelope(bytes);
    if (!decoded) {
      RC_ASSERT(!decoded.error().field.empty());
    }
  });
  CHECK_TRUE(holds);
}

// Guards against a missing field that is silently decoded as zero.
TEST(MessageCodec, MissingFieldIsNamedInTheError) {
  // {"type": "cancel_tasks", "number": 0, "acknowledged": 0, "session": 0}
  const std::string bytes =
      "\xa4\x64type\x6c"
      "cancel_tasks\x66number" +
      std::string(1, '\0') +
      "\x6c"
      "acknowledged" +
      std::string(1, '\0') +
      "\x67"
      "session" +
      std::string(1, '\0');
  const auto decoded = DecodeEnvelope(bytes);
  CHECK_FALSE(decoded.has_value());
  STRCMP_EQUAL("submission", decoded.error().field.c_str());
}
