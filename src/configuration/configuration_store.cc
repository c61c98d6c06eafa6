#include "configuration/configuration_store.h"

#include <utility>

#include "base/mutex_lock.h"
#include "configuration/configuration_codec.h"

namespace sapphirecrank::configuration {
namespace {

using base::ErrorCode;
using base::Result;

bool HasEnabledAction(const limits::AutomaticActions& actions) {
  return actions.ejection || actions.hedging || actions.throttling || actions.bulk_shedding ||
         actions.retry;
}

bool IsValidPercent(Percent value) { return value >= Percent(0) && value <= Percent(100); }

auto InvalidArgument(const std::string& field, const std::string& message) {
  return base::MakeErrorResult(ErrorCode::kInvalidArgument, message, field);
}

template <typename Id>
void InsertOrErase(std::set<Id>& members, const Id& id, bool is_member) {
  if (is_member) {
    members.insert(id);
  } else {
    members.erase(id);
  }
}

struct ActionApplier {
  Configuration& next_configuration;

  Result<void> operator()(const ConfigurationChange::ActivatePreset& action) const {
    if (this->next_configuration.presets.count(action.name) == 0) {
      return InvalidArgument("preset", "unknown preset: " + action.name.value());
    }
    this->next_configuration.active_preset_name = action.name;
    return {};
  }

  Result<void> operator()(const ConfigurationChange::PutPreset& action) const {
    if (action.name.empty()) {
      return InvalidArgument("preset", "a preset needs a name");
    }
    if (action.name == Preset::AllActionsOffName() &&
        HasEnabledAction(action.preset.automatic_actions)) {
      return InvalidArgument("preset", "this preset keeps all automatic actions off");
    }
    for (const PriorityClassParameters& parameters : action.preset.classes) {
      if (!IsValidPercent(parameters.reserved_slot_share) ||
          !IsValidPercent(parameters.long_task_slot_share)) {
        return InvalidArgument("classes", "a share is from 0 to 100 percent");
      }
      if (parameters.queue_limit < base::TaskCount(1)) {
        return InvalidArgument("classes", "a queue limit is at least 1");
      }
    }
    this->next_configuration.presets[action.name] = action.preset;
    return {};
  }

  Result<void> operator()(const ConfigurationChange::PutTeam& action) const {
    if (action.team.empty()) {
      return InvalidArgument("team", "a team needs a name");
    }
    if (action.share.weight < base::Weight(1)) {
      return InvalidArgument("weight", "a weight is at least 1");
    }
    if (action.share.slot_quota < base::SlotCount(0)) {
      return InvalidArgument("slot_quota", "a quota is at least 0");
    }
    this->next_configuration.teams[action.team] = action.share;
    return {};
  }

  Result<void> operator()(const ConfigurationChange::RemoveTeam& action) const {
    if (this->next_configuration.teams.erase(action.team) == 0) {
      return InvalidArgument("team", "unknown team: " + action.team.value());
    }
    return {};
  }

  Result<void> operator()(const ConfigurationChange::DrainHost& action) const {
    if (action.host.empty()) {
      return InvalidArgument("host", "a host needs a name");
    }
    InsertOrErase(this->next_configuration.drained_hosts, action.host, action.is_drained);
    return {};
  }

  Result<void> operator()(const ConfigurationChange::DrainTarget& action) const {
    if (action.target.empty()) {
      return InvalidArgument("target", "a target needs a name");
    }
    InsertOrErase(this->next_configuration.drained_targets, action.target, action.is_drained);
    return {};
  }
};

}  // namespace

ConfigurationStore::ConfigurationStore()
    : current_configuration(std::make_shared<const Configuration>()) {}

ChangeOutcome ConfigurationStore::Apply(const std::string& command) {
  auto change = ConfigurationCodec::DecodeChange(command);
  if (!change) {
    ChangeOutcome outcome;
    outcome.version = this->CurrentConfiguration()->version;
    outcome.message = change.error().message;
    return outcome;
  }
  const ChangeOutcome* first_outcome = this->outcome_history.FindOutcome(change->id);
  if (first_outcome != nullptr) {
    return *first_outcome;
  }
  ChangeOutcome outcome = this->ApplyChange(*change);
  this->outcome_history.AddOutcome(change->id, outcome);
  return outcome;
}

std::shared_ptr<const Configuration> ConfigurationStore::CurrentConfiguration() const {
  base::MutexLock lock(this->mutex);
  return this->current_configuration;
}

std::string ConfigurationStore::TakeSnapshot() const {
  return ConfigurationCodec::EncodeState(*this->CurrentConfiguration(), this->outcome_history);
}

Result<void> ConfigurationStore::Restore(const std::string& snapshot) {
  auto state = ConfigurationCodec::DecodeState(snapshot);
  if (!state) {
    return tl::make_unexpected(state.error());
  }
  this->outcome_history = std::move(state->second);
  this->Publish(std::make_shared<const Configuration>(std::move(state->first)));
  return {};
}

ChangeOutcome ConfigurationStore::ApplyChange(const ConfigurationChange& change) {
  std::shared_ptr<const Configuration> previous = this->CurrentConfiguration();
  ChangeOutcome outcome;
  outcome.version = previous->version;
  if (change.expected_version != previous->version) {
    outcome.kind = ChangeOutcome::Kind::kConflict;
    outcome.field = "expected";
    outcome.message = "the configuration has another version";
    return outcome;
  }
  auto next = std::make_shared<Configuration>(*previous);
  auto applied = std::visit(ActionApplier{*next}, change.action);
  if (!applied) {
    outcome.field = applied.error().field;
    outcome.message = applied.error().message;
    return outcome;
  }
  next->version = previous->version.Next();
  outcome.kind = ChangeOutcome::Kind::kAccepted;
  outcome.version = next->version;
  this->Publish(std::move(next));
  return outcome;
}

void ConfigurationStore::Publish(std::shared_ptr<const Configuration> configuration) {
  base::MutexLock lock(this->mutex);
  this->current_configuration.swap(configuration);
}

}  // namespace sapphirecrank::configuration
