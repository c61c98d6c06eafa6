#include "cluster/catalog.h"

namespace sapphirecrank::cluster {

const Queue* Catalog::FindQueue(const std::string& host, const std::string& path) const {
  const Queue* best_match = nullptr;
  for (const Queue& queue : this->queues) {
    const bool matches =
        queue.host == host && path.compare(0, queue.path_prefix.size(), queue.path_prefix) == 0;
    if (matches &&
        (best_match == nullptr || queue.path_prefix.size() > best_match->path_prefix.size())) {
      best_match = &queue;
    }
  }
  return best_match;
}

}  // namespace sapphirecrank::cluster
