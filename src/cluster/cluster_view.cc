#include "cluster/cluster_view.h"

#include "base/rendezvous_hash.h"

namespace sapphirecrank::cluster {

const ClusterView::Member* ClusterView::FindOwner(const base::TargetId& target,
                                                  const base::DataCentreId& data_centre) const {
  const Member* owner = nullptr;
  uint64_t best_score = 0;
  bool is_owner_local = false;
  for (const Member& member : this->members) {
    const bool is_local = member.data_centre == data_centre;
    const uint64_t score = base::RendezvousScore(member.host.value(), target.value());
    if (owner == nullptr || (is_local && !is_owner_local) ||
        (is_local == is_owner_local && score > best_score)) {
      owner = &member;
      best_score = score;
      is_owner_local = is_local;
    }
  }
  return owner;
}

}  // namespace sapphirecrank::cluster
