#include "protocol/message_codec.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <string>
#include <variant>
#include <vector>

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using protocol::AssignTasks;
using protocol::Decode;
using protocol::Encode;
using protocol::Envelope;

namespace {

Envelope SampleEnvelope(const std::string& payload) {
  protocol::AssignedTask task;
  task.key = {base::SubmissionId("ba:1"), base::TaskIndex(199)};
  task.placement = base::PlacementNumber(2);
  task.team = base::TeamId("tags");
  task.kind = base::TaskKind("check");
  task.declared.memory = base::ByteCount(1 << 30);
  task.deadline_left = std::chrono::milliseconds(1500);
  task.payload = payload;
  return {base::Sequence(7), base::Sequence(5), AssignTasks{base::Epoch(3), {task}}};
}

}  // namespace

TEST_GROUP(MessageCodec){};

// Guards against a payload that changes on its way to the target, also if it isn't text.
TEST(MessageCodec, AssignedTasksSurviveEncoding) {
  const std::string payload("\x00\xff{\"a\":1}", 9);
  const auto decoded = Decode(Encode(SampleEnvelope(payload)));
  CHECK_TRUE(decoded.has_value());
  LONGS_EQUAL(7, decoded->number.value());
  LONGS_EQUAL(5, decoded->acknowledged.value());
  const auto& message = std::get<AssignTasks>(decoded->message);
  LONGS_EQUAL(1, message.tasks.size());
  CHECK(message.tasks[0].payload == payload);
  CHECK(message.tasks[0].key.index == base::TaskIndex(199));
  CHECK(message.tasks[0].deadline_left == std::chrono::milliseconds(1500));
}

// Guards against a message type that can be sent but not read.
TEST(MessageCodec, EachMessageTypeSurvivesEncoding) {
  const std::vector<protocol::Message> messages = {
      protocol::Hello{1, base::HostId("a"), base::DataCentreId("d"), base::Incarnation(~0ULL), "s"},
      protocol::HelloAck{},
      protocol::Heartbeat{base::Sequence(1), true, {protocol::KindLoad{}}},
      protocol::HeartbeatAck{},
      protocol::TaskResults{{protocol::TaskResult{}}},
      protocol::CancelTasks{base::SubmissionId("x")},
      protocol::ForwardAnnouncement{}};
  for (const protocol::Message& message : messages) {
    const auto decoded = Decode(Encode({base::Sequence(0), base::Sequence(0), message}));
    CHECK_TRUE(decoded.has_value());
    LONGS_EQUAL(message.index(), decoded->message.index());
  }
}

// Guards against a stack overflow by nested arrays from an unauthenticated connection.
TEST(MessageCodec, DeepNestingIsRefused) {
  CHECK_FALSE(Decode(std::string(4UL * 1024 * 1024, '\x81')).has_value());
}

// Guards against a crash or an accepted message when bytes are damaged or cut off.
TEST(MessageCodec, DamagedBytesNeverCrash) {
  const bool holds = rc::check([] {
    std::string bytes = Encode(SampleEnvelope("{}"));
    const auto flips = *rc::gen::inRange(1, 8);
    for (int i = 0; i < flips; ++i) {
      bytes[*rc::gen::inRange<size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    }
    bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size() + 1));
    const auto decoded = Decode(bytes);
    if (!decoded) {
      RC_ASSERT(!decoded.error().field.empty());
    }
  });
  CHECK_TRUE(holds);
}

// Guards against a missing field that is silently read as zero.
TEST(MessageCodec, MissingFieldIsNamed) {
  // {"type": "cancel_tasks", "number": 0, "acknowledged": 0}
  const std::string bytes =
      "\xa3\x64type\x6c"
      "cancel_tasks\x66number" +
      std::string(1, '\0') +
      "\x6c"
      "acknowledged" +
      std::string(1, '\0');
  const auto decoded = Decode(bytes);
  CHECK_FALSE(decoded.has_value());
  STRCMP_EQUAL("submission", decoded.error().field.c_str());
}
