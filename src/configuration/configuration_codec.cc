#include "configuration/configuration_codec.h"

#include <nlohmann/json.hpp>

namespace sapphirecrank::configuration {
namespace {

using base::ErrorCode;
using base::Result;
using nlohmann::json;

// Kinds of changes in the encoded form. They are part of the file format.
constexpr char kActivatePreset[] = "choose_preset";
constexpr char kPutPreset[] = "put_preset";
constexpr char kPutTeam[] = "put_team";
constexpr char kRemoveTeam[] = "remove_team";
constexpr char kDrainHost[] = "drain_host";
constexpr char kDrainTarget[] = "drain_target";

std::string EncodeCbor(const json& value) {
  std::vector<uint8_t> bytes = json::to_cbor(value);
  return std::string(bytes.begin(), bytes.end());
}

json Encode(const Preset& preset) {
  json classes = json::array();
  for (const PriorityClassParameters& class_parameters : preset.classes) {
    classes.push_back({class_parameters.reserved_slot_share.value(),
                       class_parameters.long_task_slot_share.value(),
                       class_parameters.queue_limit.value()});
  }
  const limits::AutomaticActions& actions = preset.automatic_actions;
  return {{"ejection", actions.ejection},     {"hedging", actions.hedging},
          {"throttling", actions.throttling}, {"bulk_shedding", actions.bulk_shedding},
          {"retry", actions.retry},           {"classes", classes}};
}

Preset DecodePreset(const json& value) {
  Preset preset;
  value.at("ejection").get_to(preset.automatic_actions.ejection);
  value.at("hedging").get_to(preset.automatic_actions.hedging);
  value.at("throttling").get_to(preset.automatic_actions.throttling);
  value.at("bulk_shedding").get_to(preset.automatic_actions.bulk_shedding);
  value.at("retry").get_to(preset.automatic_actions.retry);
  for (size_t i = 0; i < preset.classes.size(); ++i) {
    const json& class_parameters = value.at("classes").at(i);
    preset.classes[i].reserved_slot_share = Percent(class_parameters.at(0).get<int32_t>());
    preset.classes[i].long_task_slot_share = Percent(class_parameters.at(1).get<int32_t>());
    preset.classes[i].queue_limit = base::TaskCount(class_parameters.at(2).get<int64_t>());
  }
  return preset;
}

json Encode(const TeamShare& share) {
  return {{"weight", share.weight.value()}, {"slot_quota", share.slot_quota.value()}};
}

TeamShare DecodeTeamShare(const json& value) {
  TeamShare share;
  share.weight = base::Weight(value.at("weight").get<int64_t>());
  share.slot_quota = base::SlotCount(value.at("slot_quota").get<int32_t>());
  return share;
}

json Encode(const ChangeOutcome& outcome) {
  return {static_cast<int>(outcome.kind), outcome.version.value(), outcome.field, outcome.message};
}

ChangeOutcome DecodeOutcome(const json& value) {
  ChangeOutcome outcome;
  outcome.kind = static_cast<ChangeOutcome::Kind>(value.at(0).get<int>());
  outcome.version = base::Version(value.at(1).get<uint64_t>());
  value.at(2).get_to(outcome.field);
  value.at(3).get_to(outcome.message);
  return outcome;
}

struct ActionEncoder {
  json operator()(const ConfigurationChange::ActivatePreset& action) const {
    return {kActivatePreset, action.name.value()};
  }
  json operator()(const ConfigurationChange::PutPreset& action) const {
    return {kPutPreset, action.name.value(), Encode(action.preset)};
  }
  json operator()(const ConfigurationChange::PutTeam& action) const {
    return {kPutTeam, action.team.value(), Encode(action.share)};
  }
  json operator()(const ConfigurationChange::RemoveTeam& action) const {
    return {kRemoveTeam, action.team.value()};
  }
  json operator()(const ConfigurationChange::DrainHost& action) const {
    return {kDrainHost, action.host.value(), action.is_drained};
  }
  json operator()(const ConfigurationChange::DrainTarget& action) const {
    return {kDrainTarget, action.target.value(), action.is_drained};
  }
};

Result<ConfigurationChange::Action> DecodeAction(const json& value) {
  std::string kind = value.at(0).get<std::string>();
  std::string name = value.at(1).get<std::string>();
  if (kind == kActivatePreset) {
    return ConfigurationChange::ActivatePreset{PresetName(name)};
  }
  if (kind == kPutPreset) {
    return ConfigurationChange::PutPreset{PresetName(name), DecodePreset(value.at(2))};
  }
  if (kind == kPutTeam) {
    return ConfigurationChange::PutTeam{base::TeamId(name), DecodeTeamShare(value.at(2))};
  }
  if (kind == kRemoveTeam) {
    return ConfigurationChange::RemoveTeam{base::TeamId(name)};
  }
  if (kind == kDrainHost) {
    return ConfigurationChange::DrainHost{base::HostId(name), value.at(2).get<bool>()};
  }
  if (kind == kDrainTarget) {
    return ConfigurationChange::DrainTarget{base::TargetId(name), value.at(2).get<bool>()};
  }
  return base::MakeErrorResult(ErrorCode::kCorrupted, "unknown kind of change: " + kind);
}

}  // namespace

std::string ConfigurationCodec::EncodeChange(const ConfigurationChange& change) {
  return EncodeCbor({{"id", change.id.value()},
                     {"expected", change.expected_version.value()},
                     {"action", std::visit(ActionEncoder(), change.action)}});
}

Result<ConfigurationChange> ConfigurationCodec::DecodeChange(const std::string& bytes) {
  try {
    json value = json::from_cbor(bytes);
    auto action = DecodeAction(value.at("action"));
    if (!action) {
      return tl::make_unexpected(action.error());
    }
    ConfigurationChange change;
    change.id = base::ChangeId(value.at("id").get<std::string>());
    change.expected_version = base::Version(value.at("expected").get<uint64_t>());
    change.action = std::move(*action);
    return change;
  } catch (const json::exception& error) {
    return base::MakeErrorResult(ErrorCode::kCorrupted, error.what());
  }
}

std::string ConfigurationCodec::EncodeState(const Configuration& configuration,
                                            const ChangeOutcomeHistory& outcome_history) {
  json state = {{"version", configuration.version.value()},
                {"preset_in_force", configuration.active_preset_name.value()},
                {"presets", json::object()},
                {"teams", json::object()},
                {"drained_hosts", json::array()},
                {"drained_targets", json::array()},
                {"changes", json::array()}};
  for (const auto& [name, preset] : configuration.presets) {
    state["presets"][name.value()] = Encode(preset);
  }
  for (const auto& [team, share] : configuration.teams) {
    state["teams"][team.value()] = Encode(share);
  }
  for (const base::HostId& host : configuration.drained_hosts) {
    state["drained_hosts"].push_back(host.value());
  }
  for (const base::TargetId& target : configuration.drained_targets) {
    state["drained_targets"].push_back(target.value());
  }
  for (const base::ChangeId& id : outcome_history.ids_oldest_first()) {
    state["changes"].push_back({id.value(), Encode(*outcome_history.FindOutcome(id))});
  }
  return EncodeCbor(state);
}

Result<std::pair<Configuration, ChangeOutcomeHistory>> ConfigurationCodec::DecodeState(
    const std::string& bytes) {
  try {
    json state = json::from_cbor(bytes);
    Configuration configuration;
    ChangeOutcomeHistory outcome_history;
    configuration.version = base::Version(state.at("version").get<uint64_t>());
    configuration.active_preset_name = PresetName(state.at("preset_in_force").get<std::string>());
    configuration.presets.clear();
    for (const auto& [name, preset] : state.at("presets").items()) {
      configuration.presets[PresetName(name)] = DecodePreset(preset);
    }
    for (const auto& [team, share] : state.at("teams").items()) {
      configuration.teams[base::TeamId(team)] = DecodeTeamShare(share);
    }
    for (const json& host : state.at("drained_hosts")) {
      configuration.drained_hosts.insert(base::HostId(host.get<std::string>()));
    }
    for (const json& target : state.at("drained_targets")) {
      configuration.drained_targets.insert(base::TargetId(target.get<std::string>()));
    }
    for (const json& change : state.at("changes")) {
      outcome_history.AddOutcome(base::ChangeId(change.at(0).get<std::string>()),
                                 DecodeOutcome(change.at(1)));
    }
    if (configuration.presets.count(configuration.active_preset_name) == 0) {
      return base::MakeErrorResult(ErrorCode::kCorrupted, "the active preset is missing");
    }
    return std::make_pair(std::move(configuration), std::move(outcome_history));
  } catch (const json::exception& error) {
    return base::MakeErrorResult(ErrorCode::kCorrupted, error.what());
  }
}

}  // namespace sapphirecrank::configuration
