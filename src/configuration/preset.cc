#include "configuration/preset.h"

namespace sapphirecrank::configuration {
namespace {

PriorityClassParameters MakeClassParameters(int reserved_slot_percent, int long_task_slot_percent,
                                            int64_t queue_limit) {
  return {Percent(reserved_slot_percent), Percent(long_task_slot_percent),
          base::TaskCount(queue_limit)};
}

}  // namespace

std::map<PresetName, Preset> Preset::StandardPresets() {
  Preset ordinary;
  ordinary.classes = {MakeClassParameters(10, 50, 10'000), MakeClassParameters(0, 50, 10'000),
                      MakeClassParameters(0, 50, 10'000)};
  Preset peak;
  peak.classes = {MakeClassParameters(30, 30, 10'000), MakeClassParameters(0, 30, 5'000),
                  MakeClassParameters(0, 10, 1'000)};
  Preset maintenance = ordinary;
  // Targets restart during maintenance; ejection would treat them as failing targets.
  maintenance.automatic_actions.ejection = false;
  Preset all_actions_off = ordinary;
  all_actions_off.automatic_actions = DisabledActions();
  return {{OrdinaryName(), ordinary},
          {PresetName("peak"), peak},
          {PresetName("maintenance"), maintenance},
          {AllActionsOffName(), all_actions_off}};
}

limits::AutomaticActions Preset::DisabledActions() {
  limits::AutomaticActions actions;
  actions.ejection = false;
  actions.hedging = false;
  actions.throttling = false;
  actions.bulk_shedding = false;
  actions.retry = false;
  return actions;
}

}  // namespace sapphirecrank::configuration
