#include "cluster/evacuation_state.h"

#include <CppUTest/TestHarness.h>

#include <set>
#include <string>
#include <vector>

#include "base/manual_clock.h"
#include "cluster/cluster_state.h"
#include "storage/byte_reader.h"
#include "storage/byte_writer.h"

using namespace sapphirecrank;  // NOLINT(google-build-using-namespace)
using base::DataCentreId;
using base::EvacuationRevision;
using base::HostId;
using cluster::ClusterState;
using cluster::EvacuationOrder;
using cluster::EvacuationState;
using Kind = EvacuationOrder::Kind;

namespace {

EvacuationOrder MakeOrder(Kind kind, const char* data_centre, int64_t milliseconds = 0,
                          const char* host = "h1:1") {
  return {kind, DataCentreId(data_centre), base::TimeOfDay(std::chrono::milliseconds(milliseconds)),
          HostId(host)};
}

}  // namespace

TEST_GROUP(EvacuationState) {
  EvacuationState state;

  bool Apply(Kind kind, const char* data_centre, int64_t milliseconds = 0,
             const char* host = "h1:1") {
    return this->state.Apply(MakeOrder(kind, data_centre, milliseconds, host));
  }
};

// Guards against an evacuation that begins anew, or a revision that increases, when an order is
// repeated.
TEST(EvacuationState, RepeatedOrdersChangeNothing) {
  CHECK_TRUE(this->Apply(Kind::kStart, "x", 1000, "h1:1"));
  CHECK_FALSE(this->Apply(Kind::kStart, "x", 2000, "h2:1"));
  CHECK(this->state.revision() == EvacuationRevision(1));
  const cluster::Evacuation& evacuation = this->state.evacuations().at(DataCentreId("x"));
  LONGS_EQUAL(1000, evacuation.since.time_since_epoch().count());
  STRCMP_EQUAL("h1:1", evacuation.accepted_by.value().c_str());
  CHECK_TRUE(this->Apply(Kind::kFinish, "x"));
  CHECK_FALSE(this->Apply(Kind::kFinish, "x"));
  CHECK(this->state.revision() == EvacuationRevision(2));
  CHECK_TRUE(this->state.evacuations().empty());
}

// Guards against orders for one data centre that change another one, and against an outcome that
// isn't that of the last order.
TEST(EvacuationState, LastOrderForEachDataCentreHolds) {
  this->Apply(Kind::kStart, "x");
  this->Apply(Kind::kStart, "y");
  this->Apply(Kind::kFinish, "x");
  this->Apply(Kind::kFinish, "z");
  this->Apply(Kind::kFinish, "y");
  this->Apply(Kind::kStart, "y", 3000, "h3:1");
  CHECK(this->state.DataCentres() == std::set<DataCentreId>{DataCentreId("y")});
  LONGS_EQUAL(3000,
              this->state.evacuations().at(DataCentreId("y")).since.time_since_epoch().count());
  CHECK(this->state.revision() == EvacuationRevision(5));
}

// Guards against a snapshot that loses evacuations, and against an older one that undoes orders.
TEST(EvacuationState, SnapshotKeepsEvacuationsAndNeverGoesBack) {
  this->Apply(Kind::kStart, "x", -5, "h1:1");
  const std::string older = this->state.TakeSnapshot();
  this->Apply(Kind::kStart, "y", 7, "h2:1");
  EvacuationState copy;
  CHECK_TRUE(copy.Restore(this->state.TakeSnapshot()));
  CHECK(copy.evacuations() == this->state.evacuations());
  CHECK(copy.revision() == EvacuationRevision(2));
  CHECK_FALSE(copy.Restore(older));
  CHECK_FALSE(copy.Restore(""));
  CHECK_FALSE(copy.Restore(this->state.TakeSnapshot().substr(0, 30)));
  LONGS_EQUAL(2, copy.evacuations().size());
}

TEST_GROUP(EvacuationOrder){};

// Guards against an order that another host applies differently, and against damaged orders that
// are carried out.
TEST(EvacuationOrder, EncodingKeepsAllFields) {
  for (const Kind kind : {Kind::kStart, Kind::kFinish}) {
    const std::string bytes = MakeOrder(kind, "x", 1234, "h2:1").Encode();
    const auto decoded = EvacuationOrder::Decode(bytes);
    CHECK_TRUE(decoded.has_value());
    CHECK(decoded->kind == kind);
    CHECK(decoded->data_centre == DataCentreId("x"));
    LONGS_EQUAL(1234, decoded->ordered_at.time_since_epoch().count());
    CHECK(decoded->accepted_by == HostId("h2:1"));
    for (size_t size = 0; size < bytes.size(); ++size) {
      CHECK_FALSE(EvacuationOrder::Decode(bytes.substr(0, size)).has_value());
    }
  }
  std::string unknown_kind = MakeOrder(Kind::kStart, "x").Encode();
  unknown_kind[8] = 9;
  CHECK_FALSE(EvacuationOrder::Decode(unknown_kind).has_value());
}

// Guards against an order that earlier program versions take for a configuration. They read any
// command of an unknown kind as one, and apply it if its version is higher than the one in force,
// which is 0 before the first configuration.
TEST(EvacuationOrder, EarlierProgramsIgnoreTheCommand) {
  for (const Kind kind : {Kind::kStart, Kind::kFinish}) {
    const std::string command =
        ClusterState::EncodeEvacuationCommand(MakeOrder(kind, "x", 1234, "h2:1"));
    CHECK(command.front() != 'c' && command.front() != 'v' && command.front() != 'j');
    const std::string body = command.substr(1);
    storage::ByteReader reader(body);
    LONGS_EQUAL(0, reader.ReadU64());
  }
}

TEST_GROUP(EvacuationsOfCluster) {
  base::ManualClock clock;
  int change_count = 0;
  std::string stored_jobs;

  ClusterState MakeState() {
    return ClusterState(
        {this->clock.AsClock(), [] { return std::vector<cluster::ClusterView::Member>(); },
         [] { return false; }, [](const std::string&) {}, [this] { ++this->change_count; },
         [](const std::string&) {}, [this] { return this->stored_jobs; },
         [this](const std::string& jobs) { this->stored_jobs = jobs; }});
  }

  static std::string Command(Kind kind, const char* data_centre) {
    return ClusterState::EncodeEvacuationCommand(MakeOrder(kind, data_centre, 1000));
  }
};

// Guards against a change that isn't announced, and against announcements of orders that changed
// nothing.
TEST(EvacuationsOfCluster, EffectiveOrdersAreAnnounced) {
  ClusterState state = this->MakeState();
  state.Apply(Command(Kind::kFinish, "x"));
  LONGS_EQUAL(0, this->change_count);
  state.Apply(Command(Kind::kStart, "x"));
  state.Apply(Command(Kind::kStart, "x"));
  LONGS_EQUAL(1, this->change_count);
  state.Apply(Command(Kind::kFinish, "x"));
  LONGS_EQUAL(2, this->change_count);
  CHECK(state.configuration().version == base::Version());
  state.Apply("e");
  state.Apply("e12345678");
  LONGS_EQUAL(2, this->change_count);
}

// Guards against evacuations or stored jobs that a snapshot loses, and against evacuations that a
// host with a snapshot doesn't announce.
TEST(EvacuationsOfCluster, SnapshotKeepsEvacuations) {
  ClusterState state = this->MakeState();
  state.Apply(Command(Kind::kStart, "x"));
  this->stored_jobs = "jobs";
  const std::string snapshot = state.TakeSnapshot();
  this->stored_jobs.clear();
  this->change_count = 0;
  ClusterState copy = this->MakeState();
  copy.Restore(snapshot);
  CHECK(copy.evacuations().DataCentres() == std::set<DataCentreId>{DataCentreId("x")});
  CHECK(copy.evacuations().revision() == EvacuationRevision(1));
  STRCMP_EQUAL("jobs", this->stored_jobs.c_str());
  LONGS_EQUAL(1, this->change_count);
}

// Guards against a host that loses configuration and jobs because the snapshot is from a program
// version without evacuations, or takes part of it for evacuations.
TEST(EvacuationsOfCluster, RestoresSnapshotsOfEarlierPrograms) {
  storage::ByteWriter record;
  record.WriteU64(7);
  record.WriteString("seven");
  storage::ByteWriter snapshot;
  snapshot.WriteString(record.written_bytes());
  snapshot.WriteString("");
  snapshot.WriteString("jobs");
  ClusterState state = this->MakeState();
  state.Restore(snapshot.written_bytes());
  CHECK(state.configuration().version == base::Version(7));
  STRCMP_EQUAL("jobs", this->stored_jobs.c_str());
  CHECK_TRUE(state.evacuations().evacuations().empty());
}

// Guards against a snapshot that earlier program versions can't read: they read three strings and
// ignore the rest.
TEST(EvacuationsOfCluster, EarlierProgramsReadTheirPartsOfASnapshot) {
  ClusterState state = this->MakeState();
  state.Apply(ClusterState::EncodeConfigurationCommand({base::Version(7), "seven"}));
  state.Apply(Command(Kind::kStart, "x"));
  this->stored_jobs = "jobs";
  const std::string snapshot = state.TakeSnapshot();
  storage::ByteReader reader(snapshot);
  const std::string record = reader.ReadString();
  storage::ByteReader record_reader(record);
  LONGS_EQUAL(7, record_reader.ReadU64());
  (void)reader.ReadString();
  STRCMP_EQUAL("jobs", reader.ReadString().c_str());
  CHECK_TRUE(reader.ok());
}
