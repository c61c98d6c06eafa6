#include "configuration/configuration_store.h"

#include <CppUTest/TestHarness.h>

#include "configuration/configuration_codec.h"

using sapphirecrank::base::ChangeId;
using sapphirecrank::base::HostId;
using sapphirecrank::base::SlotCount;
using sapphirecrank::base::TargetId;
using sapphirecrank::base::TeamId;
using sapphirecrank::base::Version;
using sapphirecrank::base::Weight;
using sapphirecrank::configuration::ChangeOutcome;
using sapphirecrank::configuration::ChangeOutcomeHistory;
using sapphirecrank::configuration::ConfigurationChange;
using sapphirecrank::configuration::ConfigurationCodec;
using sapphirecrank::configuration::ConfigurationStore;
using sapphirecrank::configuration::Percent;
using sapphirecrank::configuration::Preset;
using sapphirecrank::configuration::PresetName;

TEST_GROUP(ConfigurationStore) {
  ConfigurationStore store;

  ChangeOutcome Apply(const std::string& id, uint64_t expected_version,
                      const ConfigurationChange::Action& action) {
    ConfigurationChange change{ChangeId(id), Version(expected_version), action};
    return store.Apply(ConfigurationCodec::EncodeChange(change));
  }

  ChangeOutcome ActivatePreset(const std::string& id, uint64_t expected_version,
                               const std::string& preset) {
    return Apply(id, expected_version, ConfigurationChange::ActivatePreset{PresetName(preset)});
  }
};

// Guards against two changes with the same expected version that are both accepted.
TEST(ConfigurationStore, OnlyOneOfTwoRacingChangesIsAccepted) {
  ChangeOutcome first = ActivatePreset("a", 1, "peak");
  ChangeOutcome second = ActivatePreset("b", 1, "maintenance");
  CHECK(first.kind == ChangeOutcome::Kind::kAccepted);
  CHECK(second.kind == ChangeOutcome::Kind::kConflict);
  CHECK(second.version == Version(2));
  CHECK(store.CurrentConfiguration()->active_preset_name == PresetName("peak"));
}

// Guards against a resent change that is applied a second time or gets a conflict with itself, also
// after a restart from a snapshot. Operators resend a change when the response was lost.
TEST(ConfigurationStore, ResendGetsTheFirstOutcome) {
  ChangeOutcome accepted = ActivatePreset("a", 1, "peak");
  ChangeOutcome conflict = ActivatePreset("b", 1, "maintenance");
  CHECK(ActivatePreset("c", 2, "maintenance").kind == ChangeOutcome::Kind::kAccepted);
  ConfigurationStore restored;
  CHECK(restored.Restore(store.TakeSnapshot()).has_value());
  ConfigurationChange change{ChangeId("a"), Version(1),
                             ConfigurationChange::ActivatePreset{PresetName("peak")}};
  for (ConfigurationStore* each_store : {&store, &restored}) {
    CHECK(each_store->Apply(ConfigurationCodec::EncodeChange(change)) == accepted);
    CHECK(each_store->CurrentConfiguration()->active_preset_name == PresetName("maintenance"));
  }
  CHECK(ActivatePreset("b", 3, "maintenance") == conflict);
}

// Guards against a history that grows with each change, and against a change that is applied a
// second time after its id was removed from the history.
TEST(ConfigurationStore, ResendAfterRemovalFromTheHistoryIsAConflict) {
  CHECK(ActivatePreset("first", 1, "peak").kind == ChangeOutcome::Kind::kAccepted);
  for (uint64_t i = 0; i < ChangeOutcomeHistory::kCapacity; ++i) {
    ActivatePreset(std::to_string(i), i + 2, "ordinary");
  }
  CHECK(ActivatePreset("first", 1, "peak").kind == ChangeOutcome::Kind::kConflict);
  CHECK(store.CurrentConfiguration()->active_preset_name == PresetName("ordinary"));
}

// Guards against state that is missing from a snapshot. Each field is changed once.
TEST(ConfigurationStore, SnapshotKeepsEveryField) {
  Preset preset;
  preset.automatic_actions.hedging = false;
  preset.classes[1].long_task_slot_share = Percent(7);
  Apply("1", 1, ConfigurationChange::PutPreset{PresetName("own"), preset});
  Apply("2", 2, ConfigurationChange::ActivatePreset{PresetName("own")});
  Apply("3", 3, ConfigurationChange::PutTeam{TeamId("tags"), {Weight(3), SlotCount(40)}});
  Apply("4", 4, ConfigurationChange::DrainHost{HostId("h1"), true});
  Apply("5", 5, ConfigurationChange::DrainTarget{TargetId("t1"), true});
  CHECK(store.CurrentConfiguration()->version == Version(6));
  ConfigurationStore restored;
  CHECK(restored.Restore(store.TakeSnapshot()).has_value());
  auto configuration = restored.CurrentConfiguration();
  CHECK(configuration->version == Version(6));
  CHECK(configuration->active_preset_name == PresetName("own"));
  CHECK_FALSE(configuration->active_preset().automatic_actions.hedging);
  CHECK(configuration->active_preset().automatic_actions.retry);
  CHECK(configuration->active_preset().classes[1].long_task_slot_share == Percent(7));
  CHECK(configuration->teams.at(TeamId("tags")).slot_quota == SlotCount(40));
  LONGS_EQUAL(1, configuration->drained_hosts.count(HostId("h1")));
  LONGS_EQUAL(1, configuration->drained_targets.count(TargetId("t1")));
  STRCMP_EQUAL(store.TakeSnapshot().c_str(), restored.TakeSnapshot().c_str());
}

// Guards against a change that leaves the configuration without a valid active preset, and against
// changes with invalid fields that are accepted.
TEST(ConfigurationStore, InvalidChangesAreRejectedWithTheField) {
  STRCMP_EQUAL("preset", ActivatePreset("1", 1, "unknown").field.c_str());
  STRCMP_EQUAL("preset",
               Apply("2", 1, ConfigurationChange::PutPreset{Preset::AllActionsOffName(), Preset()})
                   .field.c_str());
  STRCMP_EQUAL(
      "weight",
      Apply("3", 1, ConfigurationChange::PutTeam{TeamId("t"), {Weight(0), {}}}).field.c_str());
  STRCMP_EQUAL("team", Apply("4", 1, ConfigurationChange::RemoveTeam{TeamId("t")}).field.c_str());
  CHECK(store.Apply("no change").kind == ChangeOutcome::Kind::kInvalid);
  CHECK_FALSE(store.Restore("no state").has_value());
  CHECK(store.CurrentConfiguration()->version == Version(1));
}
