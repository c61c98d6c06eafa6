#include "observability/placement_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace sapphirecrank::observability {

using prometheus::Counter;
using prometheus::Family;

class PlacementMetrics::Impl {
 public:
  prometheus::Registry registry;
  Family<Counter>& moves = prometheus::BuildCounter()
                               .Name("sapphirecrank_batches_placed_again_total")
                               .Help("Task batches placed with a further allocator, by cause")
                               .Register(this->registry);
  Counter& recalls = prometheus::BuildCounter()
                         .Name("sapphirecrank_batch_recalls_total")
                         .Help("Requests to allocators to return the waiting tasks of a batch")
                         .Register(this->registry)
                         .Add({});
};

PlacementMetrics::PlacementMetrics() : impl(std::make_unique<Impl>()) {}

PlacementMetrics::~PlacementMetrics() = default;

void PlacementMetrics::OnBatchMove(std::string_view cause) {
  this->impl->moves.Add({{"cause", std::string(cause)}}).Increment();
}

void PlacementMetrics::OnBatchRecall() { this->impl->recalls.Increment(); }

std::string PlacementMetrics::PrometheusText() const {
  return prometheus::TextSerializer().Serialize(this->impl->registry.Collect());
}

}  // namespace sapphirecrank::observability
