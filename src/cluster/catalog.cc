#include "cluster/catalog.h"

namespace sapphirecrank::cluster {

const Queue* Catalog::FindQueue(const std::string& host, const std::string& path) const {
  const Queue* best = nullptr;
  for (const Queue& queue : this->queues) {
    const bool fits =
        queue.host == host && path.compare(0, queue.path_prefix.size(), queue.path_prefix) == 0;
    if (fits && (best == nullptr || queue.path_prefix.size() > best->path_prefix.size())) {
      best = &queue;
    }
  }
  return best;
}

}  // namespace sapphirecrank::cluster
