#include "clusterhost/evacuation_monitor.h"

#include <string>
#include <utility>

#include "observability/allocator_metrics.h"
#include "observability/log_field.h"
#include "observability/logger.h"

namespace sapphirecrank::clusterhost {

using base::DataCentreId;
using cluster::EvacuationOrder;

namespace {

constexpr base::Duration kMetricsInterval = std::chrono::seconds(1);

std::string JoinNames(const std::set<DataCentreId>& data_centres) {
  std::string text;
  for (const DataCentreId& data_centre : data_centres) {
    text += (text.empty() ? "" : ",") + data_centre.value();
  }
  return text;
}

const char* OutcomeName(ProposalOutcome outcome) {
  switch (outcome) {
    case ProposalOutcome::kCommitted:
      return "committed";
    case ProposalOutcome::kNotLeader:
      return "other_leader";
    case ProposalOutcome::kUnknown:
      break;
  }
  return "not_confirmed";
}

}  // namespace

EvacuationMonitor::EvacuationMonitor(Hooks hooks, observability::Logger& logger,
                                     observability::AllocatorMetrics& metrics)
    : hooks(std::move(hooks)), logger(logger), metrics(metrics) {}

void EvacuationMonitor::OnStateChange(const cluster::EvacuationState& new_state) {
  if (new_state.revision() == this->state.revision()) {
    return;
  }
  for (const auto& [data_centre, evacuation] : this->state.evacuations()) {
    if (new_state.evacuations().count(data_centre) == 0) {
      this->metrics.RemoveEvacuation(data_centre.value());
    }
  }
  this->state = new_state;
  this->next_metrics_update_at = this->hooks.now();
  this->logger.Info("evacuation state applied",
                    {{"revision", std::to_string(new_state.revision().value())},
                     {"data_centres", JoinNames(new_state.DataCentres())}});
}

void EvacuationMonitor::OnStartLimit(base::TimePoint limit, base::TimePoint up_to_date_as_of) {
  const base::TimePoint now = this->hooks.now();
  const bool was_past_limit = std::exchange(this->is_past_start_limit, now > limit);
  if (was_past_limit == this->is_past_start_limit) {
    return;
  }
  const bool was_confirmed = up_to_date_as_of != base::TimePoint();
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - up_to_date_as_of).count();
  const std::string confirmed = was_confirmed ? std::to_string(age) : "never";
  if (this->is_past_start_limit) {
    this->logger.Warning("starting no runs; this host can't know the newest evacuations",
                         {{"confirmed_ms_ago", confirmed},
                          {"revision", std::to_string(this->state.revision().value())}});
  } else {
    this->logger.Info("starting runs; the evacuations are confirmed",
                      {{"confirmed_ms_ago", confirmed},
                       {"revision", std::to_string(this->state.revision().value())}});
  }
}

void EvacuationMonitor::UpdateMetrics() {
  const base::TimePoint now = this->hooks.now();
  if (this->state.evacuations().empty() || now < this->next_metrics_update_at) {
    return;
  }
  this->next_metrics_update_at = now + kMetricsInterval;
  const auto run_counts = this->hooks.run_counts();
  for (const auto& [data_centre, evacuation] : this->state.evacuations()) {
    const auto runs = run_counts.find(data_centre);
    this->metrics.SetEvacuation(data_centre.value(), evacuation.since,
                                runs == run_counts.end() ? 0 : runs->second);
  }
}

void EvacuationMonitor::OnOrderAnswered(const EvacuationOrder& order, ProposalOutcome outcome,
                                        const base::HostId& leader) {
  const std::string kind(EvacuationOrder::KindName(order.kind));
  this->metrics.OnEvacuationOrder(kind, OutcomeName(outcome));
  if (outcome == ProposalOutcome::kUnknown) {
    this->logger.Warning(
        "evacuation order not confirmed",
        {{"data_centre", order.data_centre.value()},
         {"order", kind},
         {"outcome", OutcomeName(outcome)},
         {"leader", leader.value()},
         {"reason", leader.empty() ? "the group has no leader" : "not committed in time"}});
    return;
  }
  this->logger.Info("evacuation order answered", {{"data_centre", order.data_centre.value()},
                                                  {"order", kind},
                                                  {"outcome", OutcomeName(outcome)},
                                                  {"leader", leader.value()}});
}

}  // namespace sapphirecrank::clusterhost
