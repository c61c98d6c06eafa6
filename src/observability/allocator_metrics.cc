#include "observability/allocator_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <chrono>

namespace sapphirecrank::observability {

using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;

namespace {

// The highest boundary lies just above 650 ms, the timeout of a long poll.
const Histogram::BucketBoundaries& TargetCallBuckets() {
  static const Histogram::BucketBoundaries kBuckets = {0.001, 0.0025, 0.005, 0.01, 0.025,
                                                       0.05,  0.1,    0.2,   0.4,  0.7};
  return kBuckets;
}

}  // namespace

class AllocatorMetrics::Impl {
 public:
  prometheus::Registry registry;
  Family<Counter>& batch_ends = prometheus::BuildCounter()
                                    .Name("sapphirecrank_part_ends_total")
                                    .Help("Parts of jobs that have ended here")
                                    .Register(this->registry);
  Family<Counter>& run_decisions = prometheus::BuildCounter()
                                       .Name("sapphirecrank_run_decisions_total")
                                       .Help("Decisions about runs and targets, as in the log")
                                       .Register(this->registry);
  Family<Histogram>& target_calls =
      prometheus::BuildHistogram()
          .Name("sapphirecrank_target_call_seconds")
          .Help("Time until a target's answer, or until it counted as lost")
          .Register(this->registry);
  Family<Counter>& configuration_requests =
      prometheus::BuildCounter()
          .Name("sapphirecrank_configuration_requests_total")
          .Help("Reads and changes of the configuration by their outcome")
          .Register(this->registry);
  Family<Counter>& membership_changes =
      prometheus::BuildCounter()
          .Name("sapphirecrank_membership_changes_total")
          .Help("Membership changes of the group that this host has proposed as leader")
          .Register(this->registry);
  Family<Gauge>& group_members = prometheus::BuildGauge()
                                     .Name("sapphirecrank_group_members")
                                     .Help("Members of the group that this host knows of")
                                     .Register(this->registry);
  Gauge& has_leader = prometheus::BuildGauge()
                          .Name("sapphirecrank_group_has_leader")
                          .Help("1 if this host knows a leader of the group, otherwise 0")
                          .Register(this->registry)
                          .Add({});
  Family<Counter>& evacuation_orders =
      prometheus::BuildCounter()
          .Name("sapphirecrank_evacuation_orders_total")
          .Help("Orders to start or finish an evacuation by their outcome")
          .Register(this->registry);
  Family<Gauge>& evacuated_since =
      prometheus::BuildGauge()
          .Name("sapphirecrank_evacuated_since_seconds")
          .Help("Time of day since when a data centre is evacuated, in seconds since 1970")
          .Register(this->registry);
  Family<Gauge>& evacuation_runs_left =
      prometheus::BuildGauge()
          .Name("sapphirecrank_evacuation_runs_left")
          .Help("Runs that may be active on this host's targets in an evacuated data centre")
          .Register(this->registry);
};

AllocatorMetrics::AllocatorMetrics() : impl(std::make_unique<Impl>()) {}

AllocatorMetrics::~AllocatorMetrics() = default;

void AllocatorMetrics::OnBatchEnd(std::string_view outcome) {
  this->impl->batch_ends.Add({{"outcome", std::string(outcome)}}).Increment();
}

void AllocatorMetrics::OnRunDecision(std::string_view decision) {
  this->impl->run_decisions.Add({{"decision", std::string(decision)}}).Increment();
}

void AllocatorMetrics::OnTargetCall(std::string_view call, bool has_response,
                                    base::Duration duration) {
  this->impl->target_calls
      .Add({{"call", std::string(call)}, {"answered", has_response ? "yes" : "no"}},
           TargetCallBuckets())
      .Observe(std::chrono::duration<double>(duration).count());
}

void AllocatorMetrics::OnConfigurationRequest(std::string_view operation,
                                              std::string_view outcome) {
  this->impl->configuration_requests
      .Add({{"operation", std::string(operation)}, {"outcome", std::string(outcome)}})
      .Increment();
}

void AllocatorMetrics::OnMembershipChange(std::string_view change) {
  this->impl->membership_changes.Add({{"change", std::string(change)}}).Increment();
}

void AllocatorMetrics::SetGroupMembers(size_t voters, size_t reachable_voters, size_t learners) {
  this->impl->group_members.Add({{"kind", "voter"}}).Set(static_cast<double>(voters));
  this->impl->group_members.Add({{"kind", "reachable_voter"}})
      .Set(static_cast<double>(reachable_voters));
  this->impl->group_members.Add({{"kind", "learner"}}).Set(static_cast<double>(learners));
}

void AllocatorMetrics::SetHasLeader(bool has_leader) {
  this->impl->has_leader.Set(has_leader ? 1 : 0);
}

void AllocatorMetrics::OnEvacuationOrder(std::string_view order, std::string_view outcome) {
  this->impl->evacuation_orders
      .Add({{"order", std::string(order)}, {"outcome", std::string(outcome)}})
      .Increment();
}

void AllocatorMetrics::SetEvacuation(std::string_view data_centre, base::TimeOfDay since,
                                     size_t runs_left) {
  const prometheus::Labels labels = {{"data_centre", std::string(data_centre)}};
  this->impl->evacuated_since.Add(labels).Set(
      std::chrono::duration<double>(since.time_since_epoch()).count());
  this->impl->evacuation_runs_left.Add(labels).Set(static_cast<double>(runs_left));
}

void AllocatorMetrics::RemoveEvacuation(std::string_view data_centre) {
  const prometheus::Labels labels = {{"data_centre", std::string(data_centre)}};
  // `Add` returns the gauge that exists.
  this->impl->evacuated_since.Remove(&this->impl->evacuated_since.Add(labels));
  this->impl->evacuation_runs_left.Remove(&this->impl->evacuation_runs_left.Add(labels));
}

std::string AllocatorMetrics::PrometheusText() const {
  return prometheus::TextSerializer().Serialize(this->impl->registry.Collect());
}

}  // namespace sapphirecrank::observability
